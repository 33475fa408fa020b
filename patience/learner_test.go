package patience

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	shortestGoal = 100 * time.Millisecond
	usualWait    = 2 * time.Second
	resendDelay  = 1300 * time.Millisecond
)

// caller returns the goal of a job and how long its caller waits: a time of its own
// beside two times the goal, which is known with an error.
func caller(rng *rand.Rand) (goal, wait time.Duration) {
	goal = shortestGoal + rand64(rng, 500*time.Millisecond)
	return goal, usualWait + 2*goal + rand64(rng, 400*time.Millisecond) - 200*time.Millisecond
}

func rand64(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

func learn(rng *rand.Rand, l *Learner, callers int) {
	for range callers {
		goal, wait := caller(rng)
		l.Observe("q", goal, wait)
	}
}

// TestWaited checks that callers that send a request again are told from new ones,
// with an error within the margin.
func TestWaited(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	l := NewLearner()
	learn(rng, l, 400)
	margin := l.margin("q")
	is.True(margin > 100*time.Millisecond && margin < 400*time.Millisecond)
	mistaken := 0
	for range 1000 {
		goal, wait := caller(rng)
		if l.Waited("q", goal, wait) > 0 {
			mistaken++
		}
		waited := l.Waited("q", goal, wait-resendDelay)
		is.True(waited > resendDelay-2*margin && waited < resendDelay+2*margin)
	}
	t.Logf("%d of 1000 new callers count as waiting", mistaken)
	is.True(mistaken <= 2*shortShare*1000)
}

// TestNoEvidence checks that nobody counts as waiting where there is no evidence for it.
func TestNoEvidence(t *testing.T) {
	tests := []struct {
		name  string
		learn func(rng *rand.Rand, l *Learner)
	}{
		{"nothing is known", func(*rand.Rand, *Learner) {}},
		{"few callers are known", func(rng *rand.Rand, l *Learner) { learn(rng, l, minCallers-1) }},
		{"one caller in ten chooses a short time", func(rng *rand.Rand, l *Learner) {
			for i := range 1000 {
				goal, wait := caller(rng)
				if i%10 == 0 {
					wait = 500 * time.Millisecond
				}
				l.Observe("q", goal, wait)
			}
		}},
		{"the times have no pattern", func(rng *rand.Rand, l *Learner) {
			for range 1000 {
				l.Observe("q", shortestGoal, 100*time.Millisecond+rand64(rng, 4*time.Second))
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 1))
			l := NewLearner()
			tt.learn(rng, l)
			is.Equal(l.Waited("q", shortestGoal, 500*time.Millisecond), time.Duration(0))
		})
	}
}

// TestChangedCallers checks that a shorter time is learnt once all callers wait less,
// so that they don't count as waiting for ever.
func TestChangedCallers(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	l := NewLearner()
	learn(rng, l, 1000)
	for range 2 * memory {
		goal, wait := caller(rng)
		l.Observe("q", goal, wait-resendDelay)
	}
	mistaken := 0
	for range 1000 {
		goal, wait := caller(rng)
		if l.Waited("q", goal, wait-resendDelay) > 0 {
			mistaken++
		}
	}
	is.True(mistaken <= 2*shortShare*1000)
}

func TestObserveIgnoresImplausibleTimes(t *testing.T) {
	is := is.New(t)
	l := NewLearner()
	for _, stated := range []time.Duration{0, -time.Second, maxStated + 1} {
		l.Observe("q", shortestGoal, stated)
	}
	is.Equal(len(l.queues), 0)
	for i := range 2 * maxQueues {
		l.Observe(string(rune('a'+i)), shortestGoal, time.Second)
	}
	is.Equal(len(l.queues), maxQueues)
}

// TestRestore checks that a profile stands for what was learnt, and that profiles that
// can't be true are ignored.
func TestRestore(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	l := NewLearner()
	learn(rng, l, 400)
	l.Observe("unknown", shortestGoal, time.Second)
	profiles := l.Profiles(10)
	is.Equal(len(profiles), 1)
	is.Equal(len(l.Profiles(0)), 0)

	restored := NewLearner()
	is.Equal(restored.Restore(profiles), 0)
	is.Equal(restored.Waited("q", shortestGoal, 700*time.Millisecond), l.Waited("q", shortestGoal, 700*time.Millisecond))

	own := NewLearner()
	for range minCallers {
		own.Observe("q", shortestGoal, time.Second)
	}
	own.Restore(profiles)
	is.Equal(own.Waited("q", shortestGoal, 900*time.Millisecond) > time.Second, false) // what was learnt here counts

	for _, change := range []func(*Profile){
		func(p *Profile) { p.Queue = "" },
		func(p *Profile) { p.Callers = minCallers - 1 },
		func(p *Profile) { p.MeanGoal = -1 },
		func(p *Profile) { p.MeanWait = 1e9 },
		func(p *Profile) { p.Variance = -1 },
		func(p *Profile) { p.Covariance = 1e9 },
		func(p *Profile) { p.MeanError = -1 },
		func(p *Profile) { p.Bound = 1 },
	} {
		p := profiles[0]
		change(&p)
		l := NewLearner()
		is.Equal(l.Restore([]Profile{p}), 1)
		is.Equal(len(l.queues), 0)
	}
}
