package team

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestQuotaIsSplitBetweenInstances(t *testing.T) {
	tests := []struct {
		name      string
		team      Team
		instances int
		starts    int
	}{
		{"no bounds", Team{}, 2, 100},
		{"concurrent tasks", Team{ConcurrentTasks: 9}, 2, 5},
		{"at least one each", Team{ConcurrentTasks: 1}, 4, 1},
		{"a quarter second's starts at once", Team{StartsPerSecond: 80}, 2, 10},
		{"at least one start", Team{StartsPerSecond: 1}, 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(100, 0)
			var a Account
			a.SetQuota(now, test.team, test.instances)
			n := 0
			for n < 100 && a.Allows(now) {
				a.Start(now)
				n++
			}
			is.Equal(n, test.starts)
		})
	}
}

func TestStartTokensRefill(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var a Account
	a.SetQuota(now, Team{StartsPerSecond: 4}, 1)
	a.Start(now)
	is.True(!a.Allows(now))
	is.Equal(a.NextStart(), now.Add(250*time.Millisecond))
	is.True(a.Allows(a.NextStart()))
}

func TestWeights(t *testing.T) {
	is := is.New(t)
	is.Equal(Weights([]Team{{ConcurrentTasks: 3}, {}, {ConcurrentTasks: 6}}), []float64{3, 6, 6})
}
