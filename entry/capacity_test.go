package entry_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer"
	"github.com/lovagecrank/lovagecrank/task"
	"github.com/lovagecrank/lovagecrank/team"
)

const (
	capacityWarmUp = 5 * time.Second
	capacityLength = 10 * time.Second
)

// controlMeter sums the cost of control traffic and processing over all
// instances.
type controlMeter struct {
	messages, bytes        float64
	wants, grants, returns float64
	control, work          time.Duration
}

func isControl(label string) bool {
	switch label {
	case "submit", "finished", "message.Submit", "message.Result":
		return false
	}
	return true
}

func (c *controlMeter) addMessage(m message.Message) {
	switch m.Body.(type) {
	case message.Submit, message.Result, message.Show, message.Cancel:
		return
	case message.Want:
		c.wants++
	case message.Grant:
		c.grants++
	case message.Return:
		c.returns++
	}
	n, err := peer.Size(m)
	if err != nil {
		panic(err)
	}
	c.messages++
	c.bytes += float64(n)
}

func (c *controlMeter) addInput(label string, d time.Duration) {
	if isControl(label) {
		c.control += d
	} else {
		c.work += d
	}
}

// mixedJob returns a random job with the users' mix of job sizes and run times:
// a quarter of the work is in jobs of 1 to 8 tasks, half in jobs of 10 to 100
// and a quarter in jobs of 50 to 410.
func (sim *simulation) mixedJob() job.Job {
	j := job.Job{Class: "urgent", Team: "amplifiers"}
	n := 1 + sim.rng.IntN(8)
	switch p := sim.rng.Float64(); {
	case p < 0.009:
		j.Class = "sweep"
		n = 50 + sim.rng.IntN(361)
	case p < 0.16:
		j.Class = "sweep"
		n = 10 + sim.rng.IntN(91)
	}
	for i := range n {
		ms := min(max(180*math.Exp(0.7*sim.rng.NormFloat64()), 50), 4000)
		j.Tasks = append(j.Tasks, task.Task{
			ID:      fmt.Sprintf("t-%d", i),
			Payload: []byte(`{"corner":1}`),
			RunTime: time.Duration(ms * float64(time.Millisecond)),
		})
	}
	return j
}

// submitOpenLoop submits jobs in an open loop at the given rate of task starts
// per second.
func (sim *simulation) submitOpenLoop(startsPerSecond float64) {
	if startsPerSecond == 0 {
		return
	}
	const meanTasks = 14
	gap := time.Duration(sim.rng.ExpFloat64() / (startsPerSecond / meanTasks) * float64(time.Second))
	sim.after(gap, func() {
		sim.submit(sim.instances[sim.rng.IntN(len(sim.instances))], sim.mixedJob())
		sim.submitOpenLoop(startsPerSecond)
	})
}

func newTeams(n int) []team.Team {
	list := []team.Team{{Name: "amplifiers"}}
	for i := 1; i < n; i++ {
		list = append(list, team.Team{Name: fmt.Sprintf("team-%03d", i), ConcurrentTasks: 400, StartsPerSecond: 500})
	}
	return list
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkControl simulates whole installations on a virtual clock and reports
// the cost of control per instance: messages and encoded bytes sent per second,
// and elapsed real time as a share of one core, excluding the transport. Run it
// with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	sizes := []struct {
		dataCentres, instances, endpoints, teams int
		starts                                   float64
	}{
		{3, 2, 17, 30, 0}, {5, 4, 57, 105, 0}, {5, 8, 114, 210, 0},
		{3, 2, 17, 30, 1250}, {5, 4, 57, 105, 7000}, {5, 8, 114, 210, 14000},
	}
	for _, s := range sizes {
		name := fmt.Sprintf("instances=%d/endpoints=%d/teams=%d/starts=%.0f", s.dataCentres*s.instances, s.dataCentres*s.endpoints, s.teams, s.starts)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				sim := newSimulation(1, s.dataCentres, s.instances, s.endpoints)
				sim.setTeams(s.teams)
				sim.advance(capacityWarmUp)
				sim.submitOpenLoop(s.starts)
				sim.advance(capacityWarmUp)
				var meter controlMeter
				sim.onMessage, sim.onInput = meter.addMessage, meter.addInput
				sim.advance(capacityLength)
				n := float64(len(sim.instances)) * capacityLength.Seconds()
				b.ReportMetric(meter.messages/n, "msgs/s")
				b.ReportMetric(meter.wants/n, "wants/s")
				b.ReportMetric(meter.grants/n, "grants/s")
				b.ReportMetric(meter.returns/n, "returns/s")
				b.ReportMetric(meter.bytes/n, "bytes/s")
				b.ReportMetric(100*meter.control.Seconds()/n, "control_%core")
				b.ReportMetric(100*meter.work.Seconds()/n, "work_%core")
				b.ReportMetric(float64(len(sim.starts))/(capacityWarmUp+capacityLength).Seconds(), "starts/s")
				sim.results = nil
				sim.starts = nil
				b.ReportMetric(float64(heapBytes()-before)/float64(len(sim.instances))/1e6, "MB/instance")
				runtime.KeepAlive(sim)
			}
		})
	}
}

// setTeams changes the configuration in the store to n teams. Call it before
// the instances read the store.
func (sim *simulation) setTeams(n int) {
	row := sim.rows["configuration"]
	d, err := configuration.Decode(row.Value)
	if err != nil {
		panic(err)
	}
	d.Teams = newTeams(n)
	row.Value, err = d.Encode()
	if err != nil {
		panic(err)
	}
	sim.rows["configuration"] = row
}
