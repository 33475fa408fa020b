package entry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/submission"
)

const (
	// maxResponseTime is the upper bound of the response time histograms.
	maxResponseTime = 10 * time.Minute
	// histogramDigits is the number of significant digits in histograms.
	histogramDigits = 2
	// ratioScale converts a ratio to histogram units of one thousandth.
	ratioScale = 1000
	// maxRatio is the upper bound of the ratio histograms.
	maxRatio = 10_000
)

type (
	// ClassView holds the totals of a class for the jobs whose home is this
	// instance.
	ClassView struct {
		// Waiting and Running count tasks.
		Waiting, Running int
		// Completed counts complete jobs, Failed failed jobs and NotRun
		// accepted jobs that ended before any task started. WithinTarget counts
		// complete jobs whose response time was within the target.
		Completed, Failed, NotRun, WithinTarget uint64
		// P50 and P99 are quantiles of the response time of complete jobs.
		P50, P99 time.Duration
		// RatioP50 and RatioP99 are quantiles of the ratio of a job's response
		// time to its response time on an idle system, which is the run time
		// of its longest task.
		RatioP50, RatioP99 float64
	}

	// TeamView counts a team's tasks for the jobs whose home is this instance.
	TeamView struct {
		Waiting, Running int
	}

	// classStatistics are the totals of one class.
	classStatistics struct {
		view      ClassView
		responses *hdrhistogram.Histogram
		ratios    *hdrhistogram.Histogram
	}

	// statistics holds the totals by class and by team.
	statistics struct {
		classes map[string]*classStatistics
		teams   map[string]*TeamView
		// longestRuns is the longest task run time so far of each job that
		// has not ended, by submission id.
		longestRuns map[string]time.Duration
	}
)

func newStatistics() statistics {
	return statistics{
		classes:     map[string]*classStatistics{},
		teams:       map[string]*TeamView{},
		longestRuns: map[string]time.Duration{},
	}
}

func (s *statistics) class(name string) *classStatistics {
	c := s.classes[name]
	if c == nil {
		c = &classStatistics{
			responses: hdrhistogram.New(1, maxResponseTime.Microseconds(), histogramDigits),
			ratios:    hdrhistogram.New(1, maxRatio*ratioScale, histogramDigits),
		}
		s.classes[name] = c
	}
	return c
}

func (s *statistics) team(name string) *TeamView {
	t := s.teams[name]
	if t == nil {
		t = &TeamView{}
		s.teams[name] = t
	}
	return t
}

// addWaiting adds n to the number of waiting tasks; n may be negative.
func (s *statistics) addWaiting(class, team string, n int) {
	s.class(class).view.Waiting += n
	s.team(team).Waiting += n
}

func (s *statistics) taskStarted(class, team string) {
	s.addWaiting(class, team, -1)
	s.class(class).view.Running++
	s.team(team).Running++
}

func (s *statistics) taskFinished(class, team string) {
	s.class(class).view.Running--
	s.team(team).Running--
}

// jobAccepted begins to record task run times for a job.
func (s *statistics) jobAccepted(id string) { s.longestRuns[id] = 0 }

// recordRunTime records the run time of a task that answered. It ignores tasks
// of jobs that have ended, whose entry would never be removed.
func (s *statistics) recordRunTime(id string, d time.Duration) {
	if longest, open := s.longestRuns[id]; open && d > longest {
		s.longestRuns[id] = d
	}
}

// jobEnded counts a job with a final result.
func (s *statistics) jobEnded(e submission.EndedJob, target time.Duration) {
	longest := s.longestRuns[e.SubmissionID]
	delete(s.longestRuns, e.SubmissionID)
	s.addWaiting(e.Class, e.Team, -e.Dropped)
	c := s.class(e.Class)
	switch e.State {
	case job.Complete:
		s.jobCompleted(c, e.Finished.Sub(e.Accepted), longest, target)
	case job.Failed:
		c.view.Failed++
	case job.NotRun, job.Running:
		c.view.NotRun++
	}
}

func (s *statistics) jobCompleted(c *classStatistics, took, longest, target time.Duration) {
	c.view.Completed++
	if took <= target {
		c.view.WithinTarget++
	}
	// Values outside the histogram's range are clamped to it.
	_ = c.responses.RecordValue(min(max(took, time.Microsecond), maxResponseTime).Microseconds())
	if longest <= 0 {
		return
	}
	ratio := float64(took) / float64(longest) * ratioScale
	_ = c.ratios.RecordValue(int64(min(max(ratio, 1), maxRatio*ratioScale)))
}

func (c *classStatistics) snapshot() ClassView {
	v := c.view
	v.P50 = time.Duration(c.responses.ValueAtQuantile(50)) * time.Microsecond
	v.P99 = time.Duration(c.responses.ValueAtQuantile(99)) * time.Microsecond
	v.RatioP50 = float64(c.ratios.ValueAtQuantile(50)) / ratioScale
	v.RatioP99 = float64(c.ratios.ValueAtQuantile(99)) / ratioScale
	return v
}

func (s *statistics) classViews() map[string]ClassView {
	views := make(map[string]ClassView, len(s.classes))
	for name, c := range s.classes {
		views[name] = c.snapshot()
	}
	return views
}

func (s *statistics) teamViews() map[string]TeamView {
	views := make(map[string]TeamView, len(s.teams))
	for name, t := range s.teams {
		views[name] = *t
	}
	return views
}
