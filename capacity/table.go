package capacity

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// MaxViewAge is the age beyond which a view is not used: two periods of small
	// mergers of a hundred instances, that of the view's own data centre and that
	// of the one that it is passed on in.
	MaxViewAge = 3 * time.Second
	// preferenceMargin is by how much the view of the preferred merger may be
	// older than that of another one and still be used, so that all instances use
	// the same one: a few periods of a data centre with ten instances.
	preferenceMargin = 400 * time.Millisecond
	// coverage is the share of the instances in one view that another one must
	// include to be preferred to it. A merger that has just started or resumed has
	// received few reports yet.
	coverage = 0.9
	// maxCapacities is the maximum number of services in a view, and maxMergers
	// the maximum number of mergers of a data centre whose views are kept: two
	// that merge, and two that are about to begin or to end.
	maxCapacities = 64
	maxMergers    = 4
)

var (
	// ErrOld reports a view that is older than the one known from its merger, or
	// too old to be used. It is no fault of the sender.
	ErrOld = errors.New("a newer view is known")
	// ErrInvalid reports a view that can't be true.
	ErrInvalid = errors.New("invalid view")
)

type (
	// Table has the latest views of all data centres. The zero value is empty.
	Table struct {
		views map[string][]View
	}

	// View is a view of a data centre. Its field Age is not used; see
	// [View.MadeAt].
	View struct {
		message.DataCentreView
		// MadeAt is when the reports were added up.
		MadeAt time.Time
	}
)

// Put adds a view that has been received now. The error is ErrOld or ErrInvalid.
func (t *Table) Put(now time.Time, v message.DataCentreView) error {
	if err := Check(v); err != nil {
		return err
	}
	if v.Age > MaxViewAge {
		return ErrOld
	}
	if t.views == nil {
		t.views = map[string][]View{}
	}
	list := slices.DeleteFunc(t.views[v.DataCentre], func(o View) bool { return now.Sub(o.MadeAt) > MaxViewAge })
	t.views[v.DataCentre] = list
	view := View{v, now.Add(-v.Age)}
	if i := slices.IndexFunc(list, func(o View) bool { return o.Merger.ID == v.Merger.ID }); i >= 0 {
		if !follows(v, list[i].DataCentreView) {
			return ErrOld
		}
		list[i] = view
		return nil
	}
	if len(list) == maxMergers {
		list = slices.Delete(list, 0, 1)
	}
	t.views[v.DataCentre] = append(list, view)
	return nil
}

// follows reports whether a was made after b by the same instance.
func follows(a, b message.DataCentreView) bool {
	if a.Merger.Incarnation != b.Merger.Incarnation {
		return a.Merger.Incarnation > b.Merger.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Check returns ErrInvalid with the reason if the view can't be true.
func Check(v message.DataCentreView) error {
	if v.DataCentre == "" || v.Merger.ID == "" || v.Instances < 1 || v.Age < 0 || len(v.Capacities) > maxCapacities {
		return fmt.Errorf("%w: %d instances of data centre %q, age %s, %d services", ErrInvalid, v.Instances, v.DataCentre, v.Age, len(v.Capacities))
	}
	seen := map[string]bool{}
	for _, c := range v.Capacities {
		if seen[c.Service] || !validCapacity(c) {
			return fmt.Errorf("%w: service %q of data centre %s", ErrInvalid, c.Service, v.DataCentre)
		}
		seen[c.Service] = true
	}
	return nil
}

func validCapacity(c message.Capacity) bool {
	valid := c.Service != "" && c.Slots >= 0 && c.Free >= 0 && c.Free <= c.Slots && validAmount(c.Leaving) && validAmount(c.Joining)
	for _, w := range c.Backlog {
		valid = valid && w.Tasks >= 0 && w.Work >= 0
	}
	for _, a := range c.Arrivals {
		valid = valid && validAmount(a.Slots)
	}
	return valid
}

// validAmount excludes NaN, too.
func validAmount(n float64) bool { return n >= 0 && n <= math.MaxInt32 }

// Latest returns the view of a data centre to use: that of the preferred merger,
// unless another one's is newer by more than a margin or covers more. prefers reports whether
// merger a comes before b. Views of several mergers are never added up.
func (t *Table) Latest(now time.Time, dataCentre string, prefers func(a, b instance.Ref) bool) (View, bool) {
	var best View
	found := false
	for _, v := range t.views[dataCentre] {
		if now.Sub(v.MadeAt) > MaxViewAge {
			continue
		}
		if !found || v.replaces(best, prefers) {
			best, found = v, true
		}
	}
	return best, found
}

// replaces reports whether the view is to be used in place of o.
func (v View) replaces(o View, prefers func(a, b instance.Ref) bool) bool {
	switch ahead := v.MadeAt.Sub(o.MadeAt); {
	case ahead > preferenceMargin || ahead < -preferenceMargin:
		return ahead > 0
	case v.Covers(o.Instances) != o.Covers(v.Instances):
		return v.Covers(o.Instances)
	}
	return prefers(v.Merger, o.Merger)
}

// Covers reports whether the view includes about as many instances, or more.
func (v View) Covers(instances int) bool { return float64(v.Instances) >= coverage*float64(instances) }

// Stale reports whether another merger should stand in for the view's one, which
// makes a view each period.
func (v View) Stale(now time.Time, period time.Duration) bool {
	return v.Age(now) > preferenceMargin+period
}

// Age returns the age of a view.
func (v View) Age(now time.Time) time.Duration { return max(now.Sub(v.MadeAt), 0) }

// Capacity returns the capacity of a service, or an empty one.
func (v View) Capacity(service string) message.Capacity {
	for _, c := range v.Capacities {
		if c.Service == service {
			return c
		}
	}
	return message.Capacity{Service: service}
}
