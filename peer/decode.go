package peer

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	maxNameBytes = 256
	maxRanks     = 1 << 10
	maxDuration  = 24 * time.Hour
)

var (
	errUnknownBody = errors.New("message body is missing or of an unknown type")
	errOutOfRange  = errors.New("message has a number out of its range")
	errNameTooLong = errors.New("message has a name that is too long")
)

// decode decodes a message and validates it, so that the code that handles
// messages need not check what an arbitrary sender could have written. The
// error is errUnknownBody if the body is missing or of an unknown type.
func decode(w *wire.Message) (message.Message, error) {
	body, err := decodeBody(w)
	if err != nil {
		return message.Message{}, err
	}
	m := message.Message{From: decodeRef(w.GetFrom()), To: decodeRef(w.GetTo()), Body: body}
	return m, errors.Join(checkRef(m.From), checkRef(m.To))
}

func decodeBody(w *wire.Message) (message.Body, error) {
	switch b := w.GetBody().(type) {
	case *wire.Message_Submit:
		j, err := decodeJob(b.Submit.GetJob())
		return message.Submit{Request: b.Submit.GetRequest(), Job: j, Wait: b.Submit.GetWait(), HandOver: b.Submit.GetClaim()}, err
	case *wire.Message_Show:
		id := b.Show.GetSubmissionId()
		return message.Show{Request: b.Show.GetRequest(), SubmissionID: id, Wait: b.Show.GetWait()}, checkName(id)
	case *wire.Message_Cancel:
		id := b.Cancel.GetSubmissionId()
		return message.Cancel{Request: b.Cancel.GetRequest(), SubmissionID: id}, checkName(id)
	case *wire.Message_Result:
		r, err := decodeResult(b.Result.GetResult())
		return message.Result{Request: b.Result.GetRequest(), Result: r}, err
	case *wire.Message_Want:
		demands, err := decodeDemands(b.Want.GetDemands())
		held, heldErr := decodeSlotLeases(b.Want.GetHeld())
		want := message.Want{Sequence: b.Want.GetSequence(), Demands: demands, Held: held, Full: b.Want.GetFull()}
		return want, errors.Join(err, heldErr)
	case *wire.Message_Grant:
		leases, err := decodeSlotLeases(b.Grant.GetLeases())
		return message.Grant{Leases: leases, Want: b.Grant.GetWant()}, err
	case *wire.Message_Return:
		leases, err := decodeSlotLeases(b.Return.GetLeases())
		unused := b.Return.GetUnused()
		return message.Return{Leases: leases, Unused: int(unused), Want: b.Return.GetWant()}, errors.Join(err, checkCount(unused))
	case *wire.Message_Notice:
		return decodeHeartbeat(b.Notice)
	case *wire.Message_ConfigurationRequest:
		return message.ConfigurationRequest{}, nil
	case *wire.Message_Configuration:
		d, err := configuration.Decode(b.Configuration.GetDocument())
		return message.Configuration{Document: d}, err
	case *wire.Message_Stale:
		return message.Stale{Request: b.Stale.GetRequest()}, nil
	}
	return decodePoolPackageBody(w)
}

func decodeRef(w *wire.Ref) instance.Ref {
	return instance.Ref{DataCentre: w.GetDataCentre(), ID: w.GetId(), Incarnation: w.GetIncarnation()}
}

func decodeInstance(w *wire.Instance) (instance.Info, error) {
	i := instance.Info{Ref: decodeRef(w.GetRef()), Rack: w.GetRack(), Draining: w.GetLeaving(), Cores: w.GetCores()}
	if err := errors.Join(checkRef(i.Ref), checkName(i.Rack)); err != nil {
		return instance.Info{}, err
	}
	if !(i.Cores >= 0 && i.Cores <= instance.MaxCores) {
		return instance.Info{}, errOutOfRange
	}
	if w.GetAddress() == "" {
		return i, nil
	}
	address, err := netip.ParseAddrPort(w.GetAddress())
	if err != nil {
		return instance.Info{}, fmt.Errorf("instance %s has no valid address: %w", i.ID, err)
	}
	i.Address = address
	return i, nil
}

func decodeHeartbeat(w *wire.Notice) (message.Body, error) {
	info, err := decodeInstance(w.GetInfo())
	if err != nil {
		return nil, err
	}
	if len(w.GetBacklogNs()) > maxRanks {
		return nil, errOutOfRange
	}
	n := message.Heartbeat{Info: info, ConfigurationVersion: w.GetConfigurationVersion()}
	for _, s := range w.GetSignals() {
		if !(s.GetSpeed() >= 0) || math.IsInf(s.GetSpeed(), 0) || s.GetSamples() < 0 {
			return nil, errOutOfRange
		}
		n.Signals = append(n.Signals, message.Signal{
			Endpoint: s.GetEndpoint(),
			Rack:     s.GetRack(),
			Samples:  int(s.GetSamples()),
			Speed:    s.GetSpeed(),
			Ejected:  s.GetEjected(),
			Draining: s.GetLeaving(),
		})
	}
	for _, ns := range w.GetBacklogNs() {
		n.ExpectedWaits = append(n.ExpectedWaits, decodeDuration(ns))
	}
	return n, nil
}

func decodeDemands(list []*wire.Demand) ([]message.Demand, error) {
	if len(list) > maxRanks {
		return nil, errOutOfRange
	}
	var demands []message.Demand
	for _, d := range list {
		needs, err := decodeNeeds(d.GetNeeds())
		if err := errors.Join(err, checkCount(d.GetTasks()), checkCount(d.GetRank())); err != nil {
			return nil, err
		}
		demands = append(demands, message.Demand{
			Rank:  class.Rank(d.GetRank()),
			Slack: time.Duration(d.GetSlackNs()),
			Tasks: int(d.GetTasks()),
			Needs: needs,
		})
	}
	return demands, nil
}

func decodeSlotLeases(list []*wire.Lease) ([]message.SlotLease, error) {
	var leases []message.SlotLease
	for _, l := range list {
		to := decodeRef(l.GetTo())
		if err := errors.Join(checkCount(l.GetSlots()), checkName(l.GetEndpoint()), checkRef(to)); err != nil {
			return nil, err
		}
		leases = append(leases, message.SlotLease{
			Endpoint: l.GetEndpoint(),
			Epoch:    l.GetEpoch(),
			Slots:    int(l.GetSlots()),
			Length:   decodeDuration(l.GetLengthNs()),
			To:       to,
		})
	}
	return leases, nil
}

func decodeNeeds(w *wire.Needs) (task.Needs, error) {
	n := task.Needs{Cores: w.GetCores(), MemoryBytes: w.GetMemoryBytes(), Accelerators: int(w.GetAccelerators())}
	if !(n.Cores >= 0) || math.IsInf(n.Cores, 0) || n.MemoryBytes < 0 || n.Accelerators < 0 {
		return task.Needs{}, errOutOfRange
	}
	return n, nil
}

func decodeJob(w *wire.Job) (job.Job, error) {
	j := job.Job{
		SubmissionID: w.GetSubmissionId(),
		Class:        w.GetClass(),
		Team:         w.GetTeam(),
		Deadline:     decodeTime(w.GetDeadlineNs()),
		TraceParent:  w.GetTraceParent(),
	}
	if err := errors.Join(checkName(j.SubmissionID), checkName(j.Class), checkName(j.Team), checkName(j.TraceParent)); err != nil {
		return job.Job{}, err
	}
	for _, t := range w.GetTasks() {
		needs, err := decodeNeeds(t.GetNeeds())
		if err := errors.Join(err, checkName(t.GetId()), checkName(t.GetKind())); err != nil {
			return job.Job{}, err
		}
		j.Tasks = append(j.Tasks, task.Task{
			ID:         t.GetId(),
			Kind:       t.GetKind(),
			Payload:    t.GetPayload(),
			Idempotent: t.GetIdempotent(),
			Needs:      needs,
			RunTime:    decodeDuration(t.GetRunTimeNs()),
		})
	}
	return j, nil
}

func decodeResult(w *wire.JobResult) (job.Result, error) {
	if w.GetState() > uint32(job.NotRun) {
		return job.Result{}, errOutOfRange
	}
	r := job.Result{
		SubmissionID: w.GetSubmissionId(),
		State:        job.State(w.GetState()),
		Fault:        decodeFault(w.GetFault()),
		Accepted:     decodeTime(w.GetAcceptedNs()),
		Finished:     decodeTime(w.GetFinishedNs()),
	}
	if err := checkName(r.SubmissionID); err != nil {
		return job.Result{}, err
	}
	for _, t := range w.GetTasks() {
		if t.GetState() > uint32(task.Unknown) {
			return job.Result{}, errOutOfRange
		}
		r.Tasks = append(r.Tasks, task.Outcome{
			TaskID:   t.GetTaskId(),
			State:    task.State(t.GetState()),
			Answer:   t.GetAnswer(),
			Failed:   t.GetFailed(),
			Endpoint: t.GetEndpoint(),
		})
	}
	return r, nil
}

// decodeFault decodes a fault. A kind that this release does not know becomes
// an internal fault, which does not say whether the job ran.
func decodeFault(w *wire.Fault) *fault.Error {
	if w == nil {
		return nil
	}
	kind, ok := fault.ParseKind(w.GetKind())
	detail := w.GetDetail()
	if !ok {
		detail = w.GetKind() + ": " + detail
	}
	return &fault.Error{Kind: kind, Detail: detail, RetryAfter: decodeDuration(w.GetRetryAfterNs())}
}

// decodeTime converts Unix time in nanoseconds; 0 is the zero time.
func decodeTime(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns).UTC()
}

// decodeDuration converts nanoseconds to a duration from 0 to maxDuration.
func decodeDuration(ns int64) time.Duration {
	return min(max(time.Duration(ns), 0), maxDuration)
}

func checkRef(r instance.Ref) error {
	return errors.Join(checkName(r.DataCentre), checkName(r.ID))
}

func checkName(name string) error {
	if len(name) > maxNameBytes {
		return errNameTooLong
	}
	return nil
}

func checkCount(n int32) error {
	if n < 0 {
		return errOutOfRange
	}
	return nil
}
