package team

import (
	"math"
	"time"
)

// startBurst is the time whose starts a team may use at once.
const startBurst = 250 * time.Millisecond

// Account counts a team's use of one instance against the instance's share of
// the team's quota. A token bucket limits the start rate. The zero value has no
// limits.
type Account struct {
	// maxRunning is the maximum number of running tasks; zero means no limit.
	maxRunning int
	// startRate is the maximum number of starts per second; zero means no
	// limit.
	startRate float64
	running   int
	// tokens is the number of starts allowed at refilledAt.
	tokens     float64
	refilledAt time.Time
	// nextStart is when the start rate allows another task.
	nextStart time.Time
}

// SetQuota sets the account's limits to an equal share of the team's quota for
// each of that many instances. A limited share allows at least one running task.
func (a *Account) SetQuota(now time.Time, t Team, instances int) {
	n := max(1, instances)
	a.refill(now)
	a.maxRunning = (t.ConcurrentTasks + n - 1) / n
	rate := t.StartsPerSecond / float64(n)
	if a.startRate == 0 && rate > 0 {
		a.tokens = burstTokens(rate)
	}
	a.startRate = rate
	a.refilledAt = now
	a.tokens = min(a.tokens, burstTokens(rate))
	a.updateNextStart(now)
}

// Start counts a task start.
func (a *Account) Start(now time.Time) {
	a.refill(now)
	a.running++
	if a.startRate > 0 {
		a.tokens--
		a.updateNextStart(now)
	}
}

// Finish counts the end of a task.
func (a *Account) Finish() {
	a.running = max(0, a.running-1)
}

// Allows reports whether the quota allows a task start now.
func (a *Account) Allows(now time.Time) bool {
	if a.maxRunning > 0 && a.running >= a.maxRunning {
		return false
	}
	return !now.Before(a.nextStart)
}

// NextStart returns when the start rate allows another task. A time in the past
// means now.
func (a *Account) NextStart() time.Time { return a.nextStart }

func (a *Account) updateNextStart(now time.Time) {
	missingTokens := 1 - a.tokens
	if a.startRate == 0 || missingTokens <= 0 {
		a.nextStart = now
		return
	}
	a.nextStart = now.Add(time.Duration(math.Ceil(missingTokens / a.startRate * float64(time.Second))))
}

// Delay returns the expected wait that the quota alone causes for a new task
// behind the given number of waiting tasks with the given mean run time.
func (a *Account) Delay(waiting int, mean time.Duration) time.Duration {
	var seconds float64
	if a.startRate > 0 {
		seconds = max(0, float64(waiting)-a.tokens) / a.startRate
	}
	if a.maxRunning > 0 {
		rounds := float64(max(0, waiting+a.running-a.maxRunning)) / float64(a.maxRunning)
		seconds = max(seconds, rounds*mean.Seconds())
	}
	return time.Duration(seconds * float64(time.Second))
}

// Running returns the number of the team's running tasks.
func (a *Account) Running() int { return a.running }

func (a *Account) refill(now time.Time) {
	a.tokens = a.availableTokens(now)
	a.refilledAt = now
}

func (a *Account) availableTokens(now time.Time) float64 {
	if a.refilledAt.IsZero() {
		return a.tokens
	}
	elapsed := max(0, now.Sub(a.refilledAt))
	return min(burstTokens(a.startRate), a.tokens+a.startRate*elapsed.Seconds())
}

func burstTokens(rate float64) float64 {
	return max(1, rate*startBurst.Seconds())
}

// Weights returns each team's weight for sharing capacity, which is its limit
// of concurrent tasks. Teams without a limit get the largest limit of all.
func Weights(teams []Team) []float64 {
	largest := 1
	for _, t := range teams {
		largest = max(largest, t.ConcurrentTasks)
	}
	weights := make([]float64, len(teams))
	for i, t := range teams {
		weights[i] = float64(t.ConcurrentTasks)
		if t.ConcurrentTasks == 0 {
			weights[i] = float64(largest)
		}
	}
	return weights
}
