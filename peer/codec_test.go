package peer

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/lovagecrank/lovagecrank/class"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/crash"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/peer/internal/wire"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

var (
	testTime  = time.Unix(1_700_000_000, 123).UTC()
	testNeeds = task.Needs{Cores: 1.5, MemoryBytes: 7, Accelerators: 2}
	testRef   = instance.Ref{DataCentre: "d", ID: "i", Incarnation: 1 << 63}
)

func newSubmit(tasks int) message.Submit {
	s := message.Submit{Request: 1, Wait: true, HandOver: true, Job: job.Job{SubmissionID: "s", Class: "c", Team: "t", Deadline: testTime, TraceParent: "p"}}
	for i := range tasks {
		s.Job.Tasks = append(s.Job.Tasks, task.Task{
			ID: fmt.Sprint(i), Kind: "k", Payload: []byte(`{"x": 1}`), Idempotent: true, Needs: testNeeds, RunTime: time.Second,
		})
	}
	return s
}

// capacities returns the capacity of one service, with every field set.
func capacities() []message.Capacity {
	return []message.Capacity{{
		Service: "s", Slots: 9, Free: 2, Largest: testNeeds, Leaving: 1.5, Joining: 0.5,
		Arrivals: []message.ArrivalRate{{Priority: 1, Slots: 2.5}},
		Backlog: []message.WaitingTasks{{
			Priority: 1, Late: true, Tasks: 3, Slack: time.Second, Work: time.Minute, Needs: testNeeds, Smallest: testNeeds, Share: 2,
		}},
	}}
}

// bodies returns a body of each type, with every field set.
func bodies() []message.Body {
	leases := []message.SlotLease{{Endpoint: "w", Epoch: 9, Slots: 4, Length: time.Second, To: testRef}}
	return []message.Body{
		newSubmit(2),
		message.Show{Request: 2, SubmissionID: "s", Wait: true},
		message.Cancel{Request: 3, SubmissionID: "s"},
		message.Result{Request: 4, Result: job.Result{
			SubmissionID: "s", State: job.Failed, Accepted: testTime, Finished: testTime.Add(time.Second),
			Fault: fault.New(fault.TaskFailed, "why").WithRetryAfter(time.Second),
			Tasks: []task.Outcome{{TaskID: "a", State: task.Answered, Answer: []byte("1"), Failed: true, Endpoint: "w"}},
		}},
		message.Want{Sequence: 5, Demands: []message.Demand{{Rank: 1, Slack: -time.Second, Tasks: 3, Needs: testNeeds}}, Held: leases, Full: true},
		message.Grant{Leases: leases, Want: 7},
		message.Return{Leases: leases, Unused: 2, Want: 7},
		message.Heartbeat{
			Info:                 instance.Info{Ref: testRef, Rack: "r", Address: netip.MustParseAddrPort("10.0.0.1:7"), Draining: true, Cores: 0.4},
			ConfigurationVersion: 6,
			Signals:              []message.Signal{{Endpoint: "w", Rack: "r", Samples: 3, Speed: 0.5, Ejected: true, Draining: true}},
			ExpectedWaits:        []time.Duration{1, 2},
		},
		message.ConfigurationRequest{},
		message.Configuration{Document: configuration.Document{Version: 3, ChangeID: "x", Classes: []class.Class{{Name: "c", Target: time.Second}}}},
		message.Stale{Request: 8},
		message.Status{
			Draining: true, Version: 4, Endpoints: []string{"w"}, DataCentres: []string{"b", "c"},
			Evacuations: message.Evacuations{Version: 5, DataCentres: []string{"b"}},
		},
		message.FreeSlots{Capacities: capacities()},
		message.DataCentreViews{Views: []message.DataCentreView{{
			DataCentre: "d", Merger: testRef, Sequence: 6, Age: time.Second, Instances: 7, Capacities: capacities(),
		}}},
		message.Profiles{
			Endpoints: []message.EndpointProfile{{
				ID: "w", StartedAt: time.UnixMilli(5), Speed: 0.5, Samples: 4, FailedShare: 0.25, Outcomes: 8, EjectedFor: time.Second,
			}},
			Queues: []message.QueueProfile{{Queue: "q", Samples: 9, MedianRatio: 1.5, TailRatio: 7}},
		},
		message.StartRun{
			Run: run.Ref{Task: "t", Number: 2}, Queue: "q", Service: "s", Spec: "x", Needs: testNeeds, Estimate: time.Second,
			Requires: "l", Rack: "r", Avoid: []string{"w"}, Offer: 7, NotifyStart: true,
		},
		message.EndpointLosses{Losses: []message.EndpointLoss{{
			Endpoint: "w", Address: netip.MustParseAddrPort("10.0.0.1:7"), StartedAt: time.UnixMilli(5), Age: time.Second,
			State: crash.Proved, Runs: []crash.Run{{Task: "t", Queue: "q", Started: true}},
		}}},
		message.Runs{Runs: []run.Ref{{Task: "t", Number: 2}}},
		message.StopRun{Run: run.Ref{Task: "t", Number: 2}},
		message.RunUpdate{Run: run.Ref{Task: "t", Number: 2}, Status: run.Done, Endpoint: "w", Free: 3, Ran: time.Second},
		message.Offer{Number: 7, Service: "s", Needs: testNeeds},
		message.Decline{Number: 7},
		message.PlatformConfiguration{Document: []byte("{}")},
		message.PlatformConfigurationRequest{},
		message.Lists{
			Instances: []instance.Info{{Ref: testRef, Rack: "r", Address: netip.MustParseAddrPort("10.0.0.1:7"), Draining: true, Cores: 0.4}},
			Endpoints: []message.ListedEndpoint{{
				ID: "w", Address: netip.MustParseAddrPort("10.0.0.1:7"), DataCentre: "d", Rack: "r", Slots: 8, Size: testNeeds,
				Draining: true, Service: "s", Labels: []string{"a"}, StartedAt: time.UnixMilli(5), ColdFor: time.Second,
			}},
		},
		message.ListChange{After: 3, Cursor: 4, Removed: []string{"v"}, Put: []message.ListedEndpoint{{
			ID: "w", Address: netip.MustParseAddrPort("10.0.0.1:7"), DataCentre: "d", Rack: "r", Slots: 8, Size: testNeeds,
			Draining: true, Service: "s", Labels: []string{"a"}, StartedAt: time.UnixMilli(5), ColdFor: time.Second,
		}}},
		message.ListsRequest{},
	}
}

func TestEveryFieldRoundTrips(t *testing.T) {
	for _, body := range bodies() {
		t.Run(fmt.Sprintf("%T", body), func(t *testing.T) {
			checkNoZeroFields(t, reflect.ValueOf(body), fmt.Sprintf("%T", body))
			m := message.Message{From: testRef, To: testRef, Body: body}
			if got := roundTrip(t, m); !reflect.DeepEqual(got, m) {
				t.Errorf("got\n%+v\nwant\n%+v", got, m)
			}
		})
	}
}

// checkNoZeroFields fails the test if a field of the example is zero, so that a
// field that is added to a message must be added to bodies and to the codec. It
// skips times and durations, and the configuration document, which has its own
// codec.
func checkNoZeroFields(t *testing.T, v reflect.Value, path string) {
	if v.Type() == reflect.TypeFor[configuration.Document]() || v.Type().PkgPath() == "time" {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				checkNoZeroFields(t, v.Field(i), path+"."+v.Type().Field(i).Name)
			}
		}
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty in the example", path)
		} else if v.Type().Elem().Kind() == reflect.Struct {
			checkNoZeroFields(t, v.Index(0), path+"[0]")
		}
	default:
		if v.IsZero() {
			t.Errorf("%s is zero in the example", path)
		}
	}
}

// roundTrip encodes and decodes a message, including its protobuf encoding.
func roundTrip(t testing.TB, m message.Message) message.Message {
	w, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	data, err := proto.Marshal(w)
	if err != nil {
		t.Fatal(err)
	}
	var decoded wire.Message
	if err := proto.Unmarshal(data, &decoded); err != nil {
		t.Fatal(err)
	}
	got, err := decode(&decoded)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func TestResultRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outcome := rapid.Custom(func(t *rapid.T) task.Outcome {
			return task.Outcome{
				TaskID: rapid.StringN(0, 20, 128).Draw(t, "id"),
				State:  task.State(rapid.IntRange(0, int(task.Unknown)).Draw(t, "state")),
				Failed: rapid.Bool().Draw(t, "failed"),
			}
		})
		body := message.Result{Result: job.Result{
			State: job.State(rapid.IntRange(0, int(job.NotRun)).Draw(t, "state")),
			Tasks: rapid.SliceOfN(outcome, 1, 5).Draw(t, "tasks"),
		}}
		w, err := encode(message.Message{Body: body})
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(w)
		if err != nil || !reflect.DeepEqual(got.Body, message.Body(body)) {
			t.Fatalf("%v, got %+v, want %+v", err, got.Body, body)
		}
	})
}

func FuzzDecode(f *testing.F) {
	for _, body := range bodies() {
		w, err := encode(message.Message{From: testRef, To: testRef, Body: body})
		if err != nil {
			f.Fatal(err)
		}
		data, err := proto.Marshal(w)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var w wire.Message
		if proto.Unmarshal(data, &w) != nil {
			return
		}
		m, err := decode(&w)
		if err != nil {
			return
		}
		if _, err := encode(m); err != nil {
			t.Fatalf("decoded message %+v cannot be encoded: %v", m, err)
		}
	})
}

func BenchmarkCodec(b *testing.B) {
	for _, body := range []message.Body{newSubmit(1), newSubmit(100), bodies()[7]} {
		m := message.Message{From: testRef, To: testRef, Body: body}
		w, err := encode(m)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("%T/bytes=%d", body, proto.Size(w)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				roundTrip(b, m)
			}
		})
	}
}

// TestFormerRelease checks messages of a release that does not divide its tasks
// among its peers, knows no evacuations and does not say which lost runs had started.
func TestFormerRelease(t *testing.T) {
	is := is.New(t)
	largest := &wire.Needs{Cores: 8}
	body, err := decodeBody(&wire.Message{Body: &wire.Message_Vacancies{Vacancies: &wire.Vacancies{
		Rooms: []*wire.Room{{Service: "s", Waits: []*wire.Wait{{Tasks: 3, Needs: largest}}}},
	}}})
	is.NoErr(err)
	waiting := body.(message.FreeSlots).Capacities[0].Backlog[0]
	is.Equal(waiting.Share, 3)
	is.Equal(waiting.Smallest.Cores, 8.0)
	body, err = decodeBody(&wire.Message{Body: &wire.Message_Standing{Standing: &wire.Standing{}}})
	is.NoErr(err)
	is.Equal(body.(message.Status).Evacuations.Version, uint64(0))
	body, err = decodeBody(&wire.Message{Body: &wire.Message_EndpointLosses{EndpointLosses: &wire.EndpointLosses{
		Losses: []*wire.EndpointLoss{{Endpoint: "e", Address: "10.0.0.1:80", Runs: []*wire.LostRun{{Task: "t", Queue: "q"}}}},
	}}})
	is.NoErr(err)
	is.True(!body.(message.EndpointLosses).Losses[0].Runs[0].Started)
}

// TestInvalidNumbers checks that a message with a number that no decision may use
// is not decoded.
func TestInvalidNumbers(t *testing.T) {
	invalid := []float64{math.NaN(), math.Inf(1), -1}
	for _, n := range invalid {
		bodies := []*wire.Message{
			{Body: &wire.Message_Profiles{Profiles: &wire.Profiles{Endpoints: []*wire.EndpointProfile{{Id: "e", Speed: n}}}}},
			{Body: &wire.Message_Profiles{Profiles: &wire.Profiles{Endpoints: []*wire.EndpointProfile{{Id: "e", FailedShare: n}}}}},
			{Body: &wire.Message_Profiles{Profiles: &wire.Profiles{Queues: []*wire.QueueProfile{{Queue: "q", MedianRatio: n}}}}},
			{Body: &wire.Message_Profiles{Profiles: &wire.Profiles{Queues: []*wire.QueueProfile{{Queue: "q", TailRatio: n}}}}},
			{Body: &wire.Message_Vacancies{Vacancies: &wire.Vacancies{Rooms: []*wire.Room{{LeavingPlaces: n}}}}},
			{Body: &wire.Message_Vacancies{Vacancies: &wire.Vacancies{Rooms: []*wire.Room{{JoiningPlaces: n}}}}},
			{Body: &wire.Message_Vacancies{Vacancies: &wire.Vacancies{Rooms: []*wire.Room{{Arrivals: []*wire.ArrivalRate{{Slots: n}}}}}}},
		}
		for _, w := range bodies {
			if body, err := decodeBody(w); err == nil {
				t.Errorf("%v was decoded: %+v", n, body)
			}
		}
	}
}
