package trial

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/lovagecrank/lovagecrank/load"
)

const (
	// networkTime is the round trip time on loopback that an idle system adds
	// to a task's run time.
	networkTime = time.Millisecond
	// ratioDigits is the number of significant decimal digits of
	// recorded ratios.
	ratioDigits = 3
)

type (
	// report collects statistics of the answered jobs, by class.
	report struct {
		classes map[string]*classReport
	}

	classReport struct {
		jobs, tasks, withinTarget int
		ratios                    *load.Ratios
	}
)

func newReport() *report { return &report{classes: make(map[string]*classReport)} }

// record adds an answered job.
func (r *report) record(e exampleJob, responseTime time.Duration) {
	c := r.classes[e.class]
	if c == nil {
		c = &classReport{ratios: load.NewRatios(ratioDigits)}
		r.classes[e.class] = c
	}
	c.jobs++
	c.tasks += len(e.wantAnswers)
	c.ratios.Record(responseTime, e.ideal)
	if responseTime <= targetOf(e.class) {
		c.withinTarget++
	}
}

// write prints one row for each class, and the number of wasted messages that
// the instances' metrics show.
func (r *report) write(w io.Writer, wasted float64) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\ttarget\tjobs\ttasks\tp50\tp99\twithin target\t")
	tasks := 0
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		c := r.classes[name]
		tasks += c.tasks
		q := c.ratios.Quantiles()
		share := 100 * float64(c.withinTarget) / float64(c.jobs)
		fmt.Fprintf(t, "%s\t%v\t%d\t%d\t%.2f\t%.2f\t%.1f %%\t\n", name, targetOf(name), c.jobs, c.tasks, q.P50, q.P99, share)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "p50 and p99: response time against ideal (longest run time and %v on the network)\n"+
		"every answer was checked; no task was started twice, as the endpoints counted\n"+
		"wasted messages: %.0f, %.1f per 1,000 tasks\n",
		networkTime, wasted, 1000*wasted/float64(tasks))
	return err
}
