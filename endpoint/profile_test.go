package endpoint

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestProfilesSeparateQueuesFromEndpoints learns from runs of three queues on
// endpoints of three kinds. Estimates are off by up to 40 %, and one run in thirty
// takes seven times as long.
func TestProfilesSeparateQueuesFromEndpoints(t *testing.T) {
	speeds := []float64{0.6, 1, 1.6, 0.6, 1, 1.6}
	tests := []struct {
		name string
		// ratios are the run times of the queues over their estimates.
		ratios []float64
		// pick returns the index of the endpoint of a run of a queue.
		pick func(rng *rand.Rand, queue int) int
	}{
		{"estimates are right", []float64{1, 1, 1}, func(rng *rand.Rand, _ int) int { return rng.IntN(6) }},
		{"all of one queue are 40 % too low", []float64{1, 1, 1 / 0.6}, func(rng *rand.Rand, _ int) int { return rng.IntN(6) }},
		{"the queue whose estimates are too low runs mostly on fast endpoints", []float64{1, 1, 1 / 0.6}, func(rng *rand.Rand, queue int) int {
			if queue == 2 && rng.Float64() < 0.7 {
				return 2 + 3*rng.IntN(2)
			}
			return rng.IntN(6)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			p := NewProfiles()
			for i := range speeds {
				p.Add(infos(6, 2)[i], 0, 0)
			}
			for range 6000 {
				queue := rng.IntN(3)
				e := tt.pick(rng, queue)
				estimate := 100 * time.Millisecond
				ratio := tt.ratios[queue] / speeds[e] * (0.7 + 0.6*rng.Float64())
				if rng.IntN(30) == 0 {
					ratio *= 7
				}
				p.Observe(infos(6, 2)[e].ID, []string{"a", "b", "c"}[queue], time.Duration(ratio*float64(estimate)), estimate)
			}
			geometricMean := math.Pow(0.6*1*1.6, 1.0/3)
			for i, want := range speeds {
				got, samples := p.Speed(infos(6, 2)[i].ID)
				t.Logf("speed %.2f, learnt %.2f from %d samples", want, got, samples)
				if math.Abs(math.Log(got/want*geometricMean)) > math.Log(1.25) {
					t.Errorf("speed %.2f, learnt %.2f", want, got)
				}
			}
			for i, want := range tt.ratios {
				got, tail, _ := p.Ratios([]string{"a", "b", "c"}[i])
				if math.Abs(math.Log(got/want)) > math.Log(1.25) || tail < got {
					t.Errorf("ratio %.2f, learnt %.2f with tail %.2f", want, got, tail)
				}
			}
		})
	}
}

// TestInheritedSpeed checks that a reported speed counts at once and is replaced by
// own samples, and that odd ones are bounded.
func TestInheritedSpeed(t *testing.T) {
	tests := []struct {
		name     string
		speed    float64
		samples  int
		min, max float64
	}{
		{"nothing is known", 0, 0, 1, 1},
		{"slow", 0.5, 32, 0.5, 0.7},
		{"no samples", 0.5, 0, 1, 1},
		{"absurdly fast", 1e9, 1 << 30, 1, maxProfileSpeed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list := infos(8, 8)
			p := NewProfiles()
			for _, i := range list[1:] {
				p.Add(i, 1, 32)
			}
			p.Add(list[0], tt.speed, tt.samples)
			if got, _ := p.Speed(list[0].ID); got < tt.min || got > tt.max {
				t.Errorf("speed %.2f", got)
			}
			for range 200 {
				for _, i := range list {
					p.Observe(i.ID, "a", 100*time.Millisecond, 100*time.Millisecond)
				}
			}
			if got, _ := p.Speed(list[0].ID); math.Abs(got-1) > 0.05 {
				t.Errorf("speed %.2f after 200 own samples of speed 1", got)
			}
		})
	}
}

// TestProfilesDoNotDrift checks that speeds and ratios stay where they are for a
// long time: 15 minutes at 100 runs a second.
func TestProfilesDoNotDrift(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	list := infos(6, 2)
	p := NewProfiles()
	for _, i := range list {
		p.Add(i, 0, 0)
	}
	for range 90_000 {
		ran := time.Duration((0.6 + 0.8*rng.Float64()) * float64(100*time.Millisecond))
		p.Observe(list[rng.IntN(6)].ID, []string{"a", "b"}[rng.IntN(2)], ran, 100*time.Millisecond)
	}
	for _, i := range list {
		if got, _ := p.Speed(i.ID); math.Abs(math.Log(got)) > math.Log(1.2) {
			t.Errorf("%s: speed %.2f", i.ID, got)
		}
	}
	if got, _, _ := p.Ratios("a"); math.Abs(math.Log(got)) > math.Log(1.2) {
		t.Errorf("ratio %.2f", got)
	}
}
