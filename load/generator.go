package load

import (
	"math"
	"math/rand/v2"
	"time"
)

type (
	// generator generates the arrivals of one stream. It does not read the
	// clock: times are offsets from the start of the experiment.
	generator struct {
		stream        Stream
		resubmitShare float64
		rng           *rand.Rand
		// at is the time up to which arrivals have been generated.
		at time.Duration
	}

	// arrival is a job and its intended submission time.
	arrival struct {
		at       time.Duration
		class    string
		team     string
		kind     string
		runTimes []time.Duration
		// declaredFactor is the ratio of declared to actual run time.
		declaredFactor float64
		// idempotent reports whether the tasks are declared idempotent.
		idempotent bool
		// resubmit reports whether the job is submitted a second time.
		resubmit bool
	}
)

// newGenerator returns the generator of the stream with index n.
func newGenerator(c Config, n int) *generator {
	return &generator{
		stream:        c.Streams[n],
		resubmitShare: c.ResubmitShare,
		rng:           rand.New(rand.NewPCG(c.Seed, uint64(n))),
	}
}

// next returns the next arrival. Arrivals are a Poisson process whose rate
// changes during bursts.
func (g *generator) next() arrival {
	// The rate is piecewise constant: draw a unit exponential variate and use it
	// up at the rate of each piece until none remains.
	remaining := g.rng.ExpFloat64()
	for {
		rate, end := g.rate()
		wait := time.Duration(remaining / rate * float64(time.Second))
		if end == 0 || g.at+wait <= end {
			g.at += wait
			return g.job()
		}
		remaining -= rate * (end - g.at).Seconds()
		g.at = end
	}
}

// rate returns the arrival rate at g.at in jobs per second, and the time when
// it next changes; zero means never.
func (g *generator) rate() (float64, time.Duration) {
	b := g.stream.Burst
	if b.Every == 0 {
		return g.stream.JobsPerSecond, 0
	}
	period := g.at.Truncate(b.Every)
	begin, end := period+b.Every-b.Length, period+b.Every
	if g.at < begin {
		return g.stream.JobsPerSecond, begin
	}
	return g.stream.JobsPerSecond * b.Factor, end
}

func (g *generator) job() arrival {
	s := g.stream
	n := s.Tasks.Min + g.rng.IntN(s.Tasks.Max-s.Tasks.Min+1)
	runTimes := make([]time.Duration, n)
	for i := range runTimes {
		runTimes[i] = g.runTime()
	}
	return arrival{
		at:             g.at,
		class:          s.Class,
		team:           s.Teams[g.rng.IntN(len(s.Teams))],
		kind:           s.Kind,
		runTimes:       runTimes,
		declaredFactor: s.DeclaredFactor,
		idempotent:     s.Idempotent,
		resubmit:       g.rng.Float64() < g.resubmitShare,
	}
}

func (g *generator) runTime() time.Duration {
	rt := g.stream.RunTime
	d := time.Duration(float64(rt.Median) * math.Exp(rt.Sigma*g.rng.NormFloat64()))
	return min(max(d, rt.Min), rt.Max)
}

// ideal returns the response time of the job in an idle system: the network
// round trip plus the longest run time.
func (a arrival) ideal(network time.Duration) time.Duration {
	var longest time.Duration
	for _, d := range a.runTimes {
		longest = max(longest, d)
	}
	return network + longest
}
