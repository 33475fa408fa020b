package entry_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/task"
)

// singleMachine is one machine with its virtual clock.
type singleMachine struct {
	machine *entry.Machine
	now     time.Time
	actions entry.Actions
	ref     instance.Ref
}

func newSingleMachine() *singleMachine {
	sm := &singleMachine{now: time.Date(2026, 7, 1, 12, 0, 0, 0, time.UTC), ref: instance.Ref{DataCentre: "dc-0", ID: "i-0", Incarnation: 1}}
	sm.machine = entry.New(entry.Settings{Self: instance.Info{Ref: sm.ref}, Seed: 1}, sm.now)
	return sm
}

func (sm *singleMachine) endpoints(n int) {
	var list []endpoint.Info
	for i := range n {
		list = append(list, endpoint.Info{
			ID: fmt.Sprintf("w-%d", i), Address: netip.MustParseAddrPort("127.0.0.1:9"),
			DataCentre: "dc-0", Rack: fmt.Sprintf("r-%d", i/6), Slots: 8, Connections: 64,
			Size: task.Needs{Cores: 16, MemoryBytes: 64 << 30},
		})
	}
	sm.machine.SetEndpoints(sm.now, list, &sm.actions)
}

// configure delivers a configuration with that many classes and teams, as from
// a peer.
func (sm *singleMachine) configure(classes, teams int) {
	d := configuration.Document{Version: 1, ChangeID: "first", Teams: newTeams(teams)}
	for i := range classes {
		d.Classes = append(d.Classes, class.Class{Name: fmt.Sprintf("class-%d", i), Target: time.Duration(i+1) * time.Second})
	}
	from := instance.Ref{DataCentre: "dc-1", ID: "i-9", Incarnation: 1}
	heartbeat := message.Heartbeat{Info: instance.Info{Ref: from}, ConfigurationVersion: 1}
	sm.machine.Receive(sm.now, message.Message{From: from, To: sm.ref, Body: heartbeat}, &sm.actions)
	sm.machine.Receive(sm.now, message.Message{From: from, To: sm.ref, Body: message.Configuration{Document: d}}, &sm.actions)
	for range 8 {
		sm.now = sm.now.Add(500 * time.Millisecond)
		sm.machine.Tick(sm.now, &sm.actions)
	}
}

func (sm *singleMachine) peers(n int) {
	for i := range n {
		info := instance.Info{Ref: instance.Ref{DataCentre: fmt.Sprintf("dc-%d", i%5), ID: fmt.Sprintf("p-%d", i), Incarnation: 1}}
		heartbeat := message.Heartbeat{Info: info, ConfigurationVersion: 1}
		sm.machine.Receive(sm.now, message.Message{From: info.Ref, To: sm.ref, Body: heartbeat}, &sm.actions)
	}
}

// submit submits n tasks in jobs of 100 tasks with payloads of 200 bytes.
func (sm *singleMachine) submit(b *testing.B, n int) {
	const perJob = 100
	for i := range n / perJob {
		j := job.Job{Class: "class-0", Team: "amplifiers", Tasks: make([]task.Task, perJob)}
		for k := range j.Tasks {
			j.Tasks[k] = task.Task{ID: fmt.Sprintf("t-%d", k), Payload: make([]byte, 200), RunTime: 10 * time.Millisecond}
		}
		sm.machine.Submit(sm.now, uint64(i+1), j, true, &sm.actions)
	}
	if v := sm.machine.View(sm.now); v.Unfinished.Jobs != n/perJob {
		b.Fatalf("%d of %d jobs were accepted", v.Unfinished.Jobs, n/perJob)
	}
}

// BenchmarkMemory reports the heap size of one machine for growing sizes of each
// part of its state. Run it with -benchtime 1x.
func BenchmarkMemory(b *testing.B) {
	tests := []struct {
		state string
		sizes []int
		build func(b *testing.B, sm *singleMachine, n int)
	}{
		{"endpoints", []int{57, 570, 5700}, func(_ *testing.B, sm *singleMachine, n int) { sm.endpoints(n) }},
		{"peers", []int{7, 40, 400}, func(_ *testing.B, sm *singleMachine, n int) { sm.peers(n) }},
		{"teams", []int{21, 210, 900}, func(_ *testing.B, sm *singleMachine, n int) { sm.configure(2, n) }},
		{"classes", []int{5, 20, 60}, func(_ *testing.B, sm *singleMachine, n int) { sm.configure(n, 2) }},
		{"waiting_tasks", []int{1000, 10_000, 90_000}, func(b *testing.B, sm *singleMachine, n int) {
			sm.configure(2, 2)
			sm.endpoints(570)
			sm.submit(b, n)
		}},
	}
	for _, tt := range tests {
		for _, n := range tt.sizes {
			b.Run(fmt.Sprintf("%s=%d", tt.state, n), func(b *testing.B) {
				for b.Loop() {
					before := heapBytes()
					sm := newSingleMachine()
					tt.build(b, sm, n)
					sm.actions = entry.Actions{}
					b.ReportMetric(float64(heapBytes()-before)/1e3, "KB")
					runtime.KeepAlive(sm)
				}
			})
		}
	}
}
