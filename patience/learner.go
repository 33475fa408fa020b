package patience

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// memory is the number of callers after which earlier ones hardly count.
	memory = 500
	// minCallers is the number of callers of a queue from which the waiting time of
	// its callers is known.
	minCallers = 60
	// fitCallers is the number of callers after which the errors of the estimate are
	// measured.
	fitCallers = 20
	// shortShare is the share of the callers of a queue that wait for a shorter time
	// than what counts as usual. Callers that choose a short time themselves are
	// taken for waiting ones only if they are fewer than these.
	shortShare = 0.02
	// boundStep is by how much a caller beyond the bound of the usual time moves it,
	// relative to the mean error.
	boundStep = 0.1
	// initialBound is the bound of the usual time until it is learnt, relative to the
	// mean error.
	initialBound = -3
	// maxQueues bounds the number of queues.
	maxQueues = 1024
	// maxStated is the longest time that is learnt from. A longer one tells nothing
	// about what callers wait for.
	maxStated = time.Minute
)

type (
	// Learner has what is known of the callers of each queue. It is not safe for
	// concurrent use.
	Learner struct {
		queues map[string]*line
	}

	// line is the time that the callers of a queue wait, as a linear function of the
	// goal of their jobs, and how much it differs. All times are in seconds.
	line struct {
		callers int
		// meanGoal and meanWait are means, variance and covariance the variance of
		// the goal and its covariance with the time waited.
		meanGoal, meanWait, variance, covariance float64
		// meanError is the mean absolute error of the estimate, and bound the error
		// below which shortShare of the callers lie.
		meanError, bound float64
	}
)

// NewLearner returns a learner that knows no queue.
func NewLearner() *Learner { return &Learner{queues: map[string]*line{}} }

// Observe learns from a caller that has just sent a job for the first time. goal is
// the goal of the job's response time, and stated the time that the caller waits.
func (l *Learner) Observe(queue string, goal, stated time.Duration) {
	if stated <= 0 || stated > maxStated || goal > maxStated {
		return
	}
	q := l.queues[queue]
	if q == nil {
		if len(l.queues) >= maxQueues {
			return
		}
		q = &line{}
		l.queues[queue] = q
	}
	q.observe(goal.Seconds(), stated.Seconds())
}

// Waited returns how long a caller has probably waited before it sent a request with
// the given time left; zero if this time is not clearly shorter than what the other
// callers of the queue wait. It is too long by more than the margin of the queue for
// shortShare of the callers.
func (l *Learner) Waited(queue string, goal, left time.Duration) time.Duration {
	q := l.queues[queue]
	if q == nil || q.callers < minCallers {
		return 0
	}
	e := left.Seconds() - q.wait(goal.Seconds())
	if e >= q.bound {
		return 0
	}
	return time.Duration(-e * float64(time.Second))
}

// margin returns by how much the time left of a request has to be shorter than usual
// so that its caller counts as having waited; zero if the queue's callers are not
// known.
func (l *Learner) margin(queue string) time.Duration {
	q := l.queues[queue]
	if q == nil || q.callers < minCallers {
		return 0
	}
	return time.Duration(-q.bound * float64(time.Second))
}

func (q *line) wait(goal float64) float64 {
	if q.variance == 0 {
		return q.meanWait
	}
	return q.meanWait + q.covariance/q.variance*(goal-q.meanGoal)
}

func (q *line) observe(goal, wait float64) {
	if q.callers >= fitCallers {
		q.observeError(wait - q.wait(goal))
	}
	q.callers = min(q.callers+1, memory)
	weight := 1 / float64(q.callers)
	goalDifference := goal - q.meanGoal
	q.meanGoal += weight * goalDifference
	waitDifference := wait - q.meanWait
	q.meanWait += weight * waitDifference
	q.variance = (1 - weight) * (q.variance + weight*goalDifference*goalDifference)
	q.covariance = (1 - weight) * (q.covariance + weight*goalDifference*waitDifference)
}

// observeError learns how much the estimate is off. The bound moves down by a large
// step for a caller below it and up by a small one for any other, so that it rests
// where shortShare of them are below.
func (q *line) observeError(e float64) {
	q.meanError += (math.Abs(e) - q.meanError) / float64(q.callers-fitCallers+1)
	switch {
	case q.callers < minCallers:
		q.bound = initialBound * q.meanError
	case e < q.bound:
		q.bound -= boundStep * q.meanError * (1 - shortShare)
	default:
		q.bound = min(q.bound+boundStep*q.meanError*shortShare, 0)
	}
}

// Profile is what is known of the callers of one queue, to be kept for a later
// process. All times are in seconds.
type Profile struct {
	Queue      string  `json:"queue"`
	Callers    int     `json:"callers"`
	MeanGoal   float64 `json:"mean_goal"`
	MeanWait   float64 `json:"mean_wait"`
	Variance   float64 `json:"variance"`
	Covariance float64 `json:"covariance"`
	MeanError  float64 `json:"mean_error"`
	Bound      float64 `json:"bound"`
}

// Profiles returns the profiles of at most n queues whose callers are known, in the
// order of their names.
func (l *Learner) Profiles(n int) []Profile {
	var list []Profile
	for _, name := range slices.Sorted(maps.Keys(l.queues)) {
		q := l.queues[name]
		if q.callers < minCallers {
			continue
		}
		if len(list) == n {
			break
		}
		list = append(list, Profile{
			Queue: name, Callers: q.callers, MeanGoal: q.meanGoal, MeanWait: q.meanWait,
			Variance: q.variance, Covariance: q.covariance, MeanError: q.meanError, Bound: q.bound,
		})
	}
	return list
}

// Restore takes over the profiles of queues of which less is known. It returns the
// number of those that can't be true, which it ignores.
func (l *Learner) Restore(profiles []Profile) (invalid int) {
	for _, p := range profiles {
		if !p.valid() {
			invalid++
			continue
		}
		if q := l.queues[p.Queue]; q != nil && q.callers >= minCallers || q == nil && len(l.queues) >= maxQueues {
			continue
		}
		l.queues[p.Queue] = &line{
			callers: min(p.Callers, memory), meanGoal: p.MeanGoal, meanWait: p.MeanWait,
			variance: p.Variance, covariance: p.Covariance, meanError: p.MeanError, bound: p.Bound,
		}
	}
	return invalid
}

// valid reports whether a learner can have made the profile.
func (p Profile) valid() bool {
	limit := maxStated.Seconds()
	for _, t := range []float64{p.MeanGoal, p.MeanWait, p.MeanError, -p.Bound} {
		if !(t >= 0 && t <= limit) {
			return false
		}
	}
	if !(p.Variance >= 0 && p.Variance <= limit*limit && math.Abs(p.Covariance) <= limit*limit) {
		return false
	}
	return p.Queue != "" && p.Callers >= minCallers
}
