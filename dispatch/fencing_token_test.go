package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/task"
)

// TestStartsUnderSeveralLeasesShareAFencingToken borrows slots of one endpoint
// twice. An endpoint refuses a start whose fencing token is below the highest
// seen, so starts under leases that are held at the same time must have the
// same fencing token, whatever the epochs of the leases.
func TestStartsUnderSeveralLeasesShareAFencingToken(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	self := instance.Ref{DataCentre: "d", ID: "entry-1", Incarnation: 1}
	peer := instance.Ref{DataCentre: "d", ID: "entry-2", Incarnation: 1}
	s := New(Settings{Self: self, LeaseLength: time.Minute}, now)
	var out Output
	s.SetInstances(now, []instance.Info{{Ref: self}, {Ref: peer}}, &out)
	id := heldBy(s, peer)
	s.SetEndpoints(now, []endpoint.Info{{ID: id, DataCentre: "d", Slots: 8, Connections: 64}}, &out)
	s.SetConfiguration(now, &configuration.Document{Version: 1}, &out)

	j := &job.Job{SubmissionID: "s", Class: "c", Team: "t"}
	for i := range 6 {
		j.Tasks = append(j.Tasks, task.Task{ID: fmt.Sprint(i)})
	}
	s.Enqueue(now, j, now, []int{0, 1, 2, 3, 4, 5}, &out)
	grant := func(epoch uint64, slots int) {
		l := message.SlotLease{Endpoint: id, Epoch: epoch, Slots: slots, Length: time.Minute}
		s.Receive(now, message.Message{From: peer, To: self, Body: message.Grant{Leases: []message.SlotLease{l}}}, &out)
	}
	grant(10, 2)
	grant(9, 2)
	is.Equal(len(out.Starts), 4)
	for _, start := range out.Starts {
		is.Equal(start.FencingToken, out.Starts[0].FencingToken)
	}

	// The leases end; starts under a later lease have a higher fencing token.
	grant(11, 0)
	grant(12, 2)
	is.Equal(len(out.Starts), 6)
	is.True(out.Starts[5].FencingToken > out.Starts[0].FencingToken)
}

// heldBy returns the ID of an endpoint that the peer would hold.
func heldBy(s *Scheduler, peer instance.Ref) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("w-%d", i)
		if h := s.holderOf(id); h != nil && h.ref == peer {
			return id
		}
	}
}
