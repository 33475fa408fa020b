package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// wrongDeclarations are wrong declared run times.
var wrongDeclarations = []struct {
	name    string
	declare func(i int, run time.Duration) time.Duration
}{
	{"ten times too long", func(_ int, run time.Duration) time.Duration { return 10 * run }},
	{"ten times too short", func(_ int, run time.Duration) time.Duration { return run / 10 }},
	{"ten times too long or too short in turn", func(i int, run time.Duration) time.Duration {
		if i%2 == 0 {
			return 10 * run
		}
		return run / 10
	}},
	{"none", func(int, time.Duration) time.Duration { return 0 }},
}

// urgentP99 returns the 99th percentile, over urgent jobs, of the ratio of the
// response time to the ideal one.
func urgentP99(declare func(int, time.Duration) time.Duration, learning bool) float64 {
	p := policy{"", func(s *simulation, n int) {
		s.declaredRunTime = declare
		if learning {
			s.addLearning(n)
			return
		}
		s.addSchedulers(n, Settings{}, nil)
	}}
	return measure(p, dataCentre13, usualMix(0.9), 30*time.Second, seeds[0]).quantile(urgent, 0.99)
}

// Wrong declared run times hardly slow down urgent jobs if run times are learned.
func TestWrongDeclarations(t *testing.T) {
	is := is.New(t)
	right := measureUsual(slotLending, dataCentre13, 0.9, 30*time.Second, 3).quantile(urgent, 0.99)
	for _, test := range wrongDeclarations {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := urgentP99(test.declare, true)
			t.Logf("p99 against ideal %.3f, %.3f with right declarations", got, right)
			is.True(got <= 1.25*right) // p99 of urgent jobs
		})
	}
	is.True(right > 1)
}

// BenchmarkWrongDeclarations compares learned run times with declared ones.
func BenchmarkWrongDeclarations(b *testing.B) {
	for _, test := range wrongDeclarations {
		b.Run(test.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(urgentP99(test.declare, true), "learnt_p99")
				b.ReportMetric(urgentP99(test.declare, false), "declared_p99")
			}
		})
	}
}
