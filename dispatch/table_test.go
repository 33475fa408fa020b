package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPolicies measures every policy at the same loads, for the table of
// docs/POLICY.md. Both power-of-two policies run for a shorter time and with one
// seed, since the one with naive retry repeats very many refused starts, in
// every data centre from 90 % load on.
func BenchmarkPolicies(b *testing.B) {
	policies := []policy{singleQueue, slotLending, evenSplit, idleSlotLending, classedPowerOfTwoPolicy, roundRobinPolicy, powerOfTwoPolicy}
	for _, dc := range []dataCentre{dataCentre13, dataCentre17, dataCentre114} {
		for _, load := range []float64{0.7, 0.9, 1.3} {
			for _, p := range policies {
				b.Run(fmt.Sprintf("%s/load %v/%s", dc.name, load, p.name), func(b *testing.B) {
					for b.Loop() {
						report(b, measure(p, dc, usualMix(load), runLength(p, dc, load), runSeeds(p, dc)...), dc)
					}
				})
			}
		}
	}
}

func runLength(p policy, dc dataCentre, load float64) time.Duration {
	isPowerOfTwo := p.name == powerOfTwoPolicy.name || p.name == classedPowerOfTwoPolicy.name
	switch {
	case isPowerOfTwo && (dc == dataCentre114 || load > 1):
		return 5 * time.Second
	case isPowerOfTwo:
		return 30 * time.Second
	case dc == dataCentre114:
		return time.Minute
	default:
		return 5 * time.Minute
	}
}

func runSeeds(p policy, dc dataCentre) []uint64 {
	if dc == dataCentre114 || p.name == powerOfTwoPolicy.name || p.name == classedPowerOfTwoPolicy.name {
		return seeds[:1]
	}
	return seeds
}

func report(b *testing.B, f *figures, dc dataCentre) {
	b.ReportMetric(f.quantile(0, 0.99), "urgent_p99")
	b.ReportMetric(f.quantile(1, 0.99), "routine_p99")
	b.ReportMetric(f.quantile(2, 0.99), "bulk_p99")
	b.ReportMetric(100*f.withinTargetShare(0), "urgent_%_in_target")
	b.ReportMetric(f.wastedMessages(), "wasted/1000")
	b.ReportMetric(f.allWastedMessages(), "strict/1000") // wasted messages of all kinds for each 1,000 tasks
	b.ReportMetric(float64(f.bytes)/f.length.Seconds()/float64(dc.instances), "B/s/instance")
	b.ReportMetric(0, "ns/op")
}
