package task

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	epoch   = time.Date(2030, 7, 1, 14, 0, 0, 0, time.UTC)
	testKey = Key{Class: "routine", Team: "lab", Kind: "corner"}
)

// observe records n run times, one every 100 ms, and returns the time of the
// last.
func observe(e *Estimator, now time.Time, k Key, n int, run func() time.Duration) time.Time {
	for range n {
		now = now.Add(100 * time.Millisecond)
		e.Observe(now, k, run())
	}
	return now
}

func logNormal(seed uint64, median time.Duration, sigma float64) func() time.Duration {
	rng := rand.New(rand.NewPCG(seed, 4))
	return func() time.Duration {
		return time.Duration(float64(median) * math.Exp(sigma*rng.NormFloat64()))
	}
}

// near reports whether got and want differ by at most the factor.
func near(got, want time.Duration, factor float64) bool {
	return math.Abs(math.Log(float64(got)/float64(want))) <= math.Log(factor)
}

// TestDeclaredIsOnlyAPrior checks that observations correct declared run times
// that are wrong by a factor of ten.
func TestDeclaredIsOnlyAPrior(t *testing.T) {
	const actual = 300 * time.Millisecond
	for _, factor := range []float64{0.1, 1, 10} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			is := is.New(t)
			e := NewEstimator(EstimatorSettings{})
			declared := time.Duration(factor * float64(actual))
			is.Equal(e.Estimate(testKey, declared).Median, declared) // no observations yet
			now := observe(e, epoch, testKey, 9, logNormal(1, actual, 0.5))
			got := e.Estimate(testKey, declared)
			t.Logf("after 9 tasks %s", got.Median)
			is.True(near(got.Median, actual, 2))
			observe(e, now, testKey, 91, logNormal(2, actual, 0.5))
			got = e.Estimate(testKey, declared)
			t.Logf("after 100 tasks %s, P95 %s, mean %s", got.Median, got.P95, got.Mean)
			is.True(near(got.Median, actual, 1.2))
			is.True(near(got.P95, time.Duration(float64(actual)*math.Exp(0.5*1.645)), 1.4))
			is.True(near(got.Mean, time.Duration(float64(actual)*math.Exp(0.125)), 1.2))
		})
	}
}

// TestBimodal checks the estimate if 70 % of the tasks take 60 ms and 30 % 4 s.
func TestBimodal(t *testing.T) {
	is := is.New(t)
	e := NewEstimator(EstimatorSettings{})
	rng := rand.New(rand.NewPCG(1, 1))
	observe(e, epoch, testKey, 1000, func() time.Duration {
		if rng.Float64() < 0.7 {
			return 60 * time.Millisecond
		}
		return 4 * time.Second
	})
	got := e.Estimate(testKey, 600*time.Millisecond)
	is.True(near(got.Median, 60*time.Millisecond, 1.2))
	is.True(near(got.P95, 4*time.Second, 1.2))
	is.True(near(got.Mean, 1242*time.Millisecond, 1.1))
}

// TestNewKeyUsesWiderGroup checks that the estimates for a new team and a new
// kind start from those of their class.
func TestNewKeyUsesWiderGroup(t *testing.T) {
	is := is.New(t)
	e := NewEstimator(EstimatorSettings{})
	observe(e, epoch, testKey, 200, logNormal(1, 80*time.Millisecond, 0.3))
	sibling := Key{Class: "routine", Team: "other", Kind: "corner"}
	is.True(near(e.Estimate(sibling, 0).Median, 80*time.Millisecond, 1.3))
	kind := Key{Class: "routine", Team: "other", Kind: "sweep"}
	is.True(near(e.Estimate(kind, 0).Median, 80*time.Millisecond, 1.3))
	other := Key{Class: "urgent", Team: "lab", Kind: "corner"}
	is.Equal(e.Estimate(other, 0).Median, 300*time.Millisecond) // the default
}

// TestOldObservationsDecay checks that the estimate follows a permanent change
// of the run time.
func TestOldObservationsDecay(t *testing.T) {
	is := is.New(t)
	e := NewEstimator(EstimatorSettings{HalfLife: time.Minute})
	now := observe(e, epoch, testKey, 3000, logNormal(1, 100*time.Millisecond, 0.3))
	observe(e, now, testKey, 1800, logNormal(2, time.Second, 0.3)) // three half-lives
	is.True(near(e.Estimate(testKey, 0).Median, time.Second, 1.2))
	is.True(near(e.Estimate(testKey, 0).Mean, 900*time.Millisecond, 1.2))
}

// TestWeightsStayFinite checks that weights don't overflow after years of
// observations.
func TestWeightsStayFinite(t *testing.T) {
	is := is.New(t)
	e := NewEstimator(EstimatorSettings{HalfLife: time.Second})
	now := epoch
	for range 1000 {
		now = now.Add(24 * time.Hour)
		e.Observe(now, testKey, 200*time.Millisecond)
	}
	is.True(near(e.Estimate(testKey, 0).Median, 200*time.Millisecond, 3))
	now = observe(e, now, testKey, 100, func() time.Duration { return 200 * time.Millisecond })
	is.True(near(e.Estimate(testKey, 0).Median, 200*time.Millisecond, 1.2))
	e.Observe(now, testKey, 0)
	e.Observe(now, testKey, -time.Second)
	e.Observe(now.Add(-time.Hour), testKey, math.MaxInt64)
	is.True(e.Estimate(testKey, math.MaxInt64).Median > 0)
}

// TestMemoryIsBounded checks that a flood of kinds evicts only the least
// recently used keys and never a class in use.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	e := NewEstimator(EstimatorSettings{MaxKeys: 100})
	observe(e, epoch, testKey, 50, func() time.Duration { return 70 * time.Millisecond })
	for i := range 10_000 {
		k := Key{Class: "routine", Team: "flood", Kind: fmt.Sprint(i)}
		e.Observe(epoch, k, 70*time.Millisecond)
		is.True(e.Keys() <= 100)
	}
	is.True(near(e.Estimate(testKey, 0).Median, 70*time.Millisecond, 1.3))
}

func TestNoAllocations(t *testing.T) {
	is := is.New(t)
	e := NewEstimator(EstimatorSettings{})
	observe(e, epoch, testKey, 100, logNormal(1, time.Second, 0.5))
	is.Equal(testing.AllocsPerRun(100, func() { e.Observe(epoch, testKey, time.Second) }), 0.0)
	is.Equal(testing.AllocsPerRun(100, func() { e.Estimate(testKey, time.Second) }), 0.0)
}

func BenchmarkEstimator(b *testing.B) {
	for _, keys := range []int{21, 210, 1000} {
		e := NewEstimator(EstimatorSettings{})
		list := make([]Key, keys)
		now := epoch
		for i := range list {
			list[i] = Key{Class: fmt.Sprintf("class-%d", i%3), Team: fmt.Sprintf("team-%d", i), Kind: fmt.Sprintf("kind-%d", i%7)}
			now = observe(e, now, list[i], 20, logNormal(uint64(i), time.Second, 0.5))
		}
		b.Run(fmt.Sprintf("Observe/%d", keys), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				e.Observe(now, list[i%keys], 300*time.Millisecond)
			}
		})
		b.Run(fmt.Sprintf("Estimate/%d", keys), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e.Estimate(list[i%keys], time.Second)
			}
		})
	}
}
