package pool

import "time"

const (
	// minAnswerTimeout and maxAnswerTimeout bound how long a start may be
	// unanswered before the run is stopped so that its task can start elsewhere.
	// The minimum is many round trips, and less than the slack of the shortest
	// jobs.
	minAnswerTimeout = 30 * time.Millisecond
	maxAnswerTimeout = 400 * time.Millisecond
	// answerTimeWeight and deviationWeight are the weights of a new sample in the
	// moving averages, and deviationFactor is by how many mean deviations an
	// answer may exceed the average time. They are those of TCP's
	// retransmission timer (RFC 6298).
	answerTimeWeight = 1.0 / 8
	deviationWeight  = 1.0 / 4
	deviationFactor  = 4
	// restartShare is the share of all starts that may be stopped and repeated
	// elsewhere because they were not answered, and maxRestarts how many at
	// once. Without this limit, a slow link or processor would slow down further
	// by repeated starts.
	restartShare = 0.15
	maxRestarts  = 20
	// minOrderTimeout is the minimum time that an endpoint has to answer a start
	// or a stop before its connection is closed, and minPollMargin the same for
	// a poll, in addition to its wait.
	minOrderTimeout = 250 * time.Millisecond
	minPollMargin   = 80 * time.Millisecond
	// orderTimeoutFactor is how many answer timeouts an order gets before its
	// connection is closed.
	orderTimeoutFactor = 3
)

// answerTimes is the estimate of how long endpoints take to answer, over the
// links and with the processor of this instance.
type answerTimes struct {
	// mean and deviation are the moving averages of the answer time and of its
	// deviation from the mean; zero before the first sample.
	mean, deviation time.Duration
	// restarts is how many unanswered starts may be repeated elsewhere.
	restarts float64
}

func newAnswerTimes() answerTimes { return answerTimes{restarts: maxRestarts} }

// observe includes the time that an answer took.
func (a *answerTimes) observe(d time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = d, d/2
		return
	}
	a.deviation += time.Duration(deviationWeight * float64((d-a.mean).Abs()-a.deviation))
	a.mean += time.Duration(answerTimeWeight * float64(d-a.mean))
}

// timeout returns how long an answer may take.
func (a *answerTimes) timeout() time.Duration {
	return min(max(a.mean+deviationFactor*a.deviation, minAnswerTimeout), maxAnswerTimeout)
}

// orderTimeout returns how long an order may take before its connection is
// closed, if that is at least the given time.
func (a *answerTimes) orderTimeout(shortest time.Duration) time.Duration {
	return max(orderTimeoutFactor*a.timeout(), shortest)
}

// recordStart allows a share of a restart for each start.
func (a *answerTimes) recordStart() { a.restarts = min(a.restarts+restartShare, maxRestarts) }

// mayRestart reports whether an unanswered start may be repeated elsewhere.
func (a *answerTimes) mayRestart() bool { return a.restarts >= 1 }

func (a *answerTimes) recordRestart() { a.restarts = max(a.restarts-1, 0) }
