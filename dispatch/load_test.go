package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const urgent = 0

func TestUrgentP99IsNearSingleQueue(t *testing.T) {
	tests := []struct {
		dc     dataCentre
		load   float64
		length time.Duration
		seeds  int
	}{
		{dataCentre13, 0.7, 30 * time.Second, 3},
		{dataCentre13, 0.9, 30 * time.Second, 3},
		{dataCentre17, 0.7, 30 * time.Second, 3},
		{dataCentre17, 0.9, 30 * time.Second, 3},
		{dataCentre114, 0.9, 5 * time.Second, 1},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%s, load %v", test.dc.name, test.load), func(t *testing.T) {
			is := is.New(t)
			bound := measureUsual(singleQueue, test.dc, test.load, test.length, test.seeds).quantile(urgent, 0.99)
			got := measureUsual(slotLending, test.dc, test.load, test.length, test.seeds).quantile(urgent, 0.99)
			t.Logf("p99 against ideal %.3f, one queue %.3f", got, bound)
			is.True(got <= 1.10*bound) // p99 of urgent jobs against one queue
		})
	}
}

func TestUrgentP99IsHalfThatOfPowerOfTwo(t *testing.T) {
	is := is.New(t)
	other := measureUsual(powerOfTwoPolicy, dataCentre13, 0.9, 5*time.Second, 1).quantile(urgent, 0.99)
	got := measureUsual(slotLending, dataCentre13, 0.9, 5*time.Second, 1).quantile(urgent, 0.99)
	t.Logf("p99 against ideal %.3f, power of two %.3f", got, other)
	is.True(got <= other/2) // p99 of urgent jobs against power of two
}

// wastedBounds are the bounds on wasted messages per 1,000 tasks.
var wastedBounds = []struct{ load, bound float64 }{{0.7, 1}, {0.9, 10}, {1.3, 30}}

func TestWastedMessages(t *testing.T) {
	for _, dc := range []dataCentre{dataCentre13, dataCentre17} {
		for _, test := range wastedBounds {
			t.Run(fmt.Sprintf("%s, load %v", dc.name, test.load), func(t *testing.T) {
				is := is.New(t)
				f := measureUsual(slotLending, dc, test.load, 30*time.Second, 3)
				t.Logf("%.2f wasted per 1,000 tasks", f.wastedMessages())
				is.True(f.wastedMessages() <= test.bound) // refusals and unused slots
			})
		}
	}
}

// TestWastedMessagesWithWithdrawnWants also counts slots that were transferred
// without a start, and Wants that were withdrawn before any slot came.
func TestWastedMessagesWithWithdrawnWants(t *testing.T) {
	for _, dc := range []dataCentre{dataCentre13, dataCentre17} {
		for _, test := range wastedBounds {
			t.Run(fmt.Sprintf("%s, load %v", dc.name, test.load), func(t *testing.T) {
				is := is.New(t)
				f := measureUsual(slotLending, dc, test.load, 30*time.Second, 3)
				t.Logf("%.2f wasted per 1,000 tasks", f.allWastedMessages())
				is.True(f.allWastedMessages() <= test.bound) // all messages without effect
			})
		}
	}
}

// TestWastedMessagesOfThreeInstances is TestWastedMessages with three instances,
// as some data centres have.
func TestWastedMessagesOfThreeInstances(t *testing.T) {
	dc := dataCentre{name: "17 endpoints, 3 instances", endpoints: 17, instances: 3}
	for _, test := range wastedBounds {
		t.Run(fmt.Sprintf("load %v", test.load), func(t *testing.T) {
			is := is.New(t)
			f := measureUsual(slotLending, dc, test.load, 30*time.Second, 3)
			t.Logf("%.2f wasted per 1,000 tasks", f.wastedMessages())
			is.True(f.wastedMessages() <= test.bound) // refusals and unused slots
		})
	}
}
