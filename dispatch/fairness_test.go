package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/team"
)

// measureShares runs three teams that each submit more than their share, and
// returns, for each window of 10 s, each team's share of the run time of the
// tasks that started in it. The third team begins after the delay.
func measureShares(delay time.Duration, windows int) [][3]float64 {
	teams := []team.Team{
		{Name: "a", ConcurrentTasks: 300},
		{Name: "b", ConcurrentTasks: 600},
		{Name: "c", ConcurrentTasks: 900},
	}
	s := newSimulation(seeds[0], dataCentre13.endpoints)
	s.addSchedulers(dataCentre13.instances, Settings{}, teams)
	s.prepareResult()
	end := s.now.Add(time.Duration(windows) * 10 * time.Second)
	for i, t := range teams {
		a := arrivals{class: routine, min: 10, max: 100, load: 1, team: t.Name}
		if i == 2 {
			s.after(delay, func() { s.feed(a, end) })
			continue
		}
		s.feed(a, end)
	}
	var shares [][3]float64
	for range windows {
		clear(s.result.slotTime)
		s.runUntil(s.now.Add(10 * time.Second))
		var w [3]float64
		var sum float64
		for i, t := range teams {
			w[i] = s.result.slotTime[t.Name].Seconds()
			sum += w[i]
		}
		for i := range w {
			w[i] /= sum
		}
		shares = append(shares, w)
	}
	return shares
}

func near(got, want [3]float64) bool {
	for i := range got {
		if math.Abs(got[i]-want[i]) > 0.05*want[i] {
			return false
		}
	}
	return true
}

func TestTeamsGetTheirShares(t *testing.T) {
	is := is.New(t)
	for i, w := range measureShares(0, 8)[3:] {
		t.Logf("window %d: %.3f", i, w)
		is.True(near(w, [3]float64{1. / 6, 2. / 6, 3. / 6})) // share of each team
	}
}

func TestUnusedShareIsUsedByOthers(t *testing.T) {
	is := is.New(t)
	w := measureShares(50*time.Second, 8)
	t.Logf("%.3f", w)
	is.True(near(w[4], [3]float64{1. / 3, 2. / 3, 0}))      // used by the others while its team is idle
	is.True(near(w[6], [3]float64{1. / 6, 2. / 6, 3. / 6})) // restored within 10 s
	is.True(near(w[7], [3]float64{1. / 6, 2. / 6, 3. / 6})) // unchanged afterwards
}
