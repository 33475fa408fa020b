package peer

import (
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
	"github.com/lovagecrank/lovagecrank/task"
)

// encode converts a message to its wire form. It returns an error for a type
// without one and for a configuration that cannot be encoded.
func encode(m message.Message) (*wire.Message, error) {
	w := &wire.Message{From: encodeRef(m.From), To: encodeRef(m.To)}
	switch b := m.Body.(type) {
	case message.Submit:
		w.Body = &wire.Message_Submit{Submit: &wire.Submit{Request: b.Request, Job: encodeJob(b.Job), Wait: b.Wait, Claim: b.HandOver}}
	case message.Show:
		w.Body = &wire.Message_Show{Show: &wire.Show{Request: b.Request, SubmissionId: b.SubmissionID, Wait: b.Wait}}
	case message.Cancel:
		w.Body = &wire.Message_Cancel{Cancel: &wire.Cancel{Request: b.Request, SubmissionId: b.SubmissionID}}
	case message.Result:
		w.Body = &wire.Message_Result{Result: &wire.Result{Request: b.Request, Result: encodeResult(b.Result)}}
	case message.Want:
		w.Body = &wire.Message_Want{Want: &wire.Want{Sequence: b.Sequence, Demands: encodeDemands(b.Demands), Held: encodeSlotLeases(b.Held), Full: b.Full}}
	case message.Grant:
		w.Body = &wire.Message_Grant{Grant: &wire.Grant{Leases: encodeSlotLeases(b.Leases), Want: b.Want}}
	case message.Return:
		w.Body = &wire.Message_Return{Return: &wire.Return{Leases: encodeSlotLeases(b.Leases), Unused: int32(b.Unused), Want: b.Want}}
	case message.Heartbeat:
		w.Body = &wire.Message_Notice{Notice: encodeHeartbeat(b)}
	case message.ConfigurationRequest:
		w.Body = &wire.Message_ConfigurationRequest{ConfigurationRequest: &wire.ConfigurationRequest{}}
	case message.Configuration:
		document, err := b.Document.Encode()
		if err != nil {
			return nil, err
		}
		w.Body = &wire.Message_Configuration{Configuration: &wire.Configuration{Document: document}}
	case message.Stale:
		w.Body = &wire.Message_Stale{Stale: &wire.Stale{Request: b.Request}}
	default:
		return w, encodePoolPackageBody(w, m.Body)
	}
	return w, nil
}

func encodeRef(r instance.Ref) *wire.Ref {
	return &wire.Ref{DataCentre: r.DataCentre, Id: r.ID, Incarnation: r.Incarnation}
}

func encodeInstance(i instance.Info) *wire.Instance {
	w := &wire.Instance{Ref: encodeRef(i.Ref), Rack: i.Rack, Leaving: i.Draining, Cores: i.Cores}
	if i.Address.IsValid() {
		w.Address = i.Address.String()
	}
	return w
}

func encodeHeartbeat(n message.Heartbeat) *wire.Notice {
	w := &wire.Notice{
		Info:                 encodeInstance(n.Info),
		ConfigurationVersion: n.ConfigurationVersion,
		Signals:              make([]*wire.Signal, 0, len(n.Signals)),
		BacklogNs:            make([]int64, 0, len(n.ExpectedWaits)),
	}
	for _, s := range n.Signals {
		w.Signals = append(w.Signals, &wire.Signal{
			Endpoint: s.Endpoint,
			Rack:     s.Rack,
			Samples:  int32(s.Samples),
			Speed:    s.Speed,
			Ejected:  s.Ejected,
			Leaving:  s.Draining,
		})
	}
	for _, d := range n.ExpectedWaits {
		w.BacklogNs = append(w.BacklogNs, int64(d))
	}
	return w
}

func encodeDemands(demands []message.Demand) []*wire.Demand {
	list := make([]*wire.Demand, 0, len(demands))
	for _, d := range demands {
		list = append(list, &wire.Demand{
			Rank:    int32(d.Rank),
			SlackNs: int64(d.Slack),
			Tasks:   int32(d.Tasks),
			Needs:   encodeNeeds(d.Needs),
		})
	}
	return list
}

func encodeSlotLeases(leases []message.SlotLease) []*wire.Lease {
	list := make([]*wire.Lease, 0, len(leases))
	for _, l := range leases {
		w := &wire.Lease{Endpoint: l.Endpoint, Epoch: l.Epoch, Slots: int32(l.Slots), LengthNs: int64(l.Length)}
		if l.To != (instance.Ref{}) {
			w.To = encodeRef(l.To)
		}
		list = append(list, w)
	}
	return list
}

func encodeNeeds(n task.Needs) *wire.Needs {
	return &wire.Needs{Cores: n.Cores, MemoryBytes: n.MemoryBytes, Accelerators: int32(n.Accelerators)}
}

func encodeJob(j job.Job) *wire.Job {
	w := &wire.Job{
		SubmissionId: j.SubmissionID,
		Class:        j.Class,
		Team:         j.Team,
		DeadlineNs:   encodeTime(j.Deadline),
		TraceParent:  j.TraceParent,
		Tasks:        make([]*wire.Task, 0, len(j.Tasks)),
	}
	for _, t := range j.Tasks {
		w.Tasks = append(w.Tasks, &wire.Task{
			Id:         t.ID,
			Kind:       t.Kind,
			Payload:    t.Payload,
			Idempotent: t.Idempotent,
			Needs:      encodeNeeds(t.Needs),
			RunTimeNs:  int64(t.RunTime),
		})
	}
	return w
}

func encodeResult(r job.Result) *wire.JobResult {
	w := &wire.JobResult{
		SubmissionId: r.SubmissionID,
		State:        uint32(r.State),
		Fault:        encodeFault(r.Fault),
		Tasks:        make([]*wire.Outcome, 0, len(r.Tasks)),
		AcceptedNs:   encodeTime(r.Accepted),
		FinishedNs:   encodeTime(r.Finished),
	}
	for _, t := range r.Tasks {
		w.Tasks = append(w.Tasks, &wire.Outcome{
			TaskId:   t.TaskID,
			State:    uint32(t.State),
			Answer:   t.Answer,
			Failed:   t.Failed,
			Endpoint: t.Endpoint,
		})
	}
	return w
}

func encodeFault(f *fault.Error) *wire.Fault {
	if f == nil {
		return nil
	}
	return &wire.Fault{Kind: f.Kind.String(), Detail: f.Detail, RetryAfterNs: int64(f.RetryAfter)}
}

// encodeTime returns Unix time in nanoseconds, or 0 for the zero time.
func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
