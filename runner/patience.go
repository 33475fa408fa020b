package runner

import (
	"fmt"
	"time"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/patience"
	"github.com/lovagecrank/lovagecrank/pool"
)

// patiencePeriod is the period at which what is known of the callers' patience is
// kept. It changes slowly; one instance writes it for all.
const patiencePeriod = 10 * time.Second

// keepPatience reads from the store what earlier instances have learnt of how long
// callers wait, and keeps there what this one learns, until the context ends. Nothing
// waits for it.
func (r *Runner) keepPatience() {
	for r.ctx.Err() == nil {
		if profiles, err := r.Store.Patience(r.ctx); err == nil {
			r.restorePatience(profiles)
			break
		}
		r.sleep(storeBackoff)
	}
	for {
		r.sleep(patiencePeriod)
		if r.ctx.Err() != nil {
			return
		}
		if profiles := r.patienceProfiles(); len(profiles) > 0 && r.writesPatience() {
			_ = r.Store.KeepPatience(r.ctx, profiles) // the next period tries again
		}
	}
}

func (r *Runner) restorePatience(profiles []patience.Profile) {
	r.apply(func(_ time.Time, m *pool.Machine, out *pool.Output) {
		if n := m.RestorePatience(profiles); n > 0 {
			out.Events = append(out.Events, event.Record{Kind: event.StoreRowInvalid, Subject: "patience", Detail: fmt.Sprintf("%d of %d queues have numbers that can't be true", n, len(profiles))})
		}
	})
}

func (r *Runner) patienceProfiles() (profiles []patience.Profile) {
	r.apply(func(_ time.Time, m *pool.Machine, _ *pool.Output) { profiles = m.PatienceProfiles() })
	return profiles
}

// writesPatience reports whether this instance is the first of those that are listed.
func (r *Runner) writesPatience() bool {
	for _, i := range r.currentLists().Instances {
		if i.ID < r.cfg.Self.ID {
			return false
		}
	}
	return !r.stopping.Load()
}
