package entry

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/storage"
)

// configurationCall marks the numbers of the configuration's calls to the
// store; the others are the submissions'.
const configurationCall = 1 << 62

// Submit takes a job from a caller. The reply has the caller's number; with
// wait it comes once the result is final, otherwise once the job is accepted
// or refused.
func (m *Machine) Submit(now time.Time, call uint64, j job.Job, wait bool, out *Actions) {
	m.submissions.Submit(now, call, j, wait, &m.fromSubmissions)
	m.settle(now, out)
}

// Show asks for a job's result; with wait the reply comes once it is final.
func (m *Machine) Show(now time.Time, call uint64, id string, wait bool, out *Actions) {
	m.submissions.Show(now, call, id, wait, &m.fromSubmissions)
	m.settle(now, out)
}

// Cancel cancels a job.
func (m *Machine) Cancel(now time.Time, call uint64, id string, out *Actions) {
	m.submissions.Cancel(now, call, id, &m.fromSubmissions)
	m.settle(now, out)
}

// Abandon tells that the caller went away. Its job goes on.
func (m *Machine) Abandon(now time.Time, call uint64) {
	m.submissions.Abandon(now, call)
}

// IssueIDs returns n new submission ids whose home is this incarnation.
func (m *Machine) IssueIDs(now time.Time, n int) ([]string, *fault.Error) {
	return m.submissions.IssueIDs(now, n)
}

// Admit reports why a job must be refused as not run, or nil. It checks the
// job's names against the configuration in force, then asks the queue. New jobs
// are refused by the submissions while the instance stops; one whose claim was
// under way when the stop began is in flight and goes on.
func (m *Machine) Admit(now time.Time, j *job.Job) *fault.Error {
	if f := m.configured(); f != nil {
		return f
	}
	if f := m.checkNames(j); f != nil {
		return f
	}
	return m.scheduler.Admit(now, j)
}

// Finished reports how the send of a task ended. An end that was reported
// before, or that belongs to an earlier attempt, changes nothing.
func (m *Machine) Finished(now time.Time, e End, out *Actions) {
	r, ok := m.running[e.Ref]
	if !ok || r.attempt != e.Attempt {
		return
	}
	delete(m.running, e.Ref)
	if r.stopped && e.Outcome != endpoint.Answered {
		m.endpoints.Stopped(now, r.endpoint, e.Load, &m.fromEndpoints)
	} else {
		m.endpoints.Finished(now, r.endpoint, e.Outcome, e.Ran, r.expected, e.Load, &m.fromEndpoints)
	}
	if e.Outcome == endpoint.Answered {
		m.estimator.Observe(now, r.key, e.Ran)
		m.statistics.ran(e.Ref.Submission, e.Ran)
	}
	m.statistics.finished(r.key.Class, r.key.Team)
	m.history.add(Step{Time: now, Ref: e.Ref, What: whatOf(e.Outcome), Endpoint: r.endpoint, Why: e.Reason})
	m.submissions.Finished(now, e.Ref, e.Attempt, e.Outcome, e.Answer, &m.fromSubmissions)
	m.scheduler.Finished(now, e.Ref, e.Outcome, e.Ran, e.Load, &m.fromScheduler)
	m.settle(now, out)
}

// Endpoints takes in the platform's list of endpoints.
func (m *Machine) Endpoints(now time.Time, list []endpoint.Info, out *Actions) {
	if len(list) == 0 {
		// A fault of the platform is likelier than the loss of every endpoint.
		return
	}
	m.listed = make(map[string]endpoint.Info, len(list))
	for _, info := range list {
		m.listed[info.ID] = info
	}
	m.endpoints.Update(now, list, &m.fromEndpoints)
	m.scheduler.SetEndpoints(now, list, &m.fromScheduler)
	m.settle(now, out)
}

// Instances takes in the platform's list of instances.
func (m *Machine) Instances(now time.Time, list []instance.Info, out *Actions) {
	m.selfListed = slices.ContainsFunc(list, func(i instance.Info) bool { return i.ID == m.settings.Self.ID })
	m.membership.List(now, list, &m.fromMembership)
	m.tellPeers(out)
	m.settle(now, out)
}

// Change asks for a change of the configuration. Its end comes in
// Actions.Changes under the change's id.
func (m *Machine) Change(now time.Time, c configuration.Change, out *Actions) {
	m.configuration.Change(now, c, &m.fromConfiguration)
	m.settle(now, out)
}

// StoreReplied takes in the reply to a call of Actions.Calls.
func (m *Machine) StoreReplied(now time.Time, r storage.Reply, out *Actions) {
	if r.Number&configurationCall != 0 {
		r.Number &^= configurationCall
		m.configurationReplied(now, r, out)
	} else {
		m.submissions.StoreReplied(now, r, &m.fromSubmissions)
	}
	m.settle(now, out)
}

// PeerLost tells that the link to an incarnation broke.
func (m *Machine) PeerLost(now time.Time, ref instance.Ref, out *Actions) {
	m.membership.Lost(now, ref, &m.fromMembership)
	m.settle(now, out)
}

// PeerJoined tells that the link to an incarnation is open.
func (m *Machine) PeerJoined(now time.Time, info instance.Info, out *Actions) {
	m.membership.Heard(now, info, &m.fromMembership)
	m.settle(now, out)
}

// Tick does what is due.
func (m *Machine) Tick(now time.Time, out *Actions) {
	m.submissions.Tick(now, &m.fromSubmissions)
	m.scheduler.Tick(now, &m.fromScheduler)
	m.endpoints.Tick(now, &m.fromEndpoints)
	m.membership.Tick(now, &m.fromMembership)
	m.configuration.Tick(now, &m.fromConfiguration)
	m.settle(now, out)
}

// BeginStop begins the planned stop: new jobs are refused as not run, accepted
// ones are finished. Idle tells when all are.
func (m *Machine) BeginStop(now time.Time, out *Actions) {
	m.stopping = true
	m.membership.SetLeaving(now, &m.fromMembership)
	m.submissions.BeginStop(now, &m.fromSubmissions)
	m.settle(now, out)
}

// Receive takes in a message from another instance.
func (m *Machine) Receive(now time.Time, msg message.Message, out *Actions) {
	if !m.meant(msg.To) {
		m.refuseStale(msg, out)
		return
	}
	m.receive(now, msg)
	m.settle(now, out)
}

func (m *Machine) receive(now time.Time, msg message.Message) {
	switch body := msg.Body.(type) {
	case message.Notice:
		m.heard(now, msg, body)
		return
	case message.Want, message.Grant, message.Return:
		m.scheduler.Receive(now, msg, &m.fromScheduler)
	case message.ConfigurationRequest:
		m.configuration.Requested(now, msg.From, &m.fromConfiguration)
	case message.Configuration:
		m.configuration.Received(now, body.Document, &m.fromConfiguration)
	default:
		m.submissions.Receive(now, msg, &m.fromSubmissions)
	}
	m.membership.Seen(now, msg.From, &m.fromMembership)
}

func (m *Machine) heard(now time.Time, msg message.Message, n message.Notice) {
	m.versions[n.Info.ID] = n.ConfigurationVersion
	m.membership.Heard(now, n.Info, &m.fromMembership)
	m.configuration.Offered(now, msg.From, n.ConfigurationVersion, &m.fromConfiguration)
	if n.Info.DataCentre == m.settings.Self.DataCentre {
		m.endpoints.Learn(now, msg.From, n.Signals, &m.fromEndpoints)
	}
	m.scheduler.Receive(now, msg, &m.fromScheduler)
}
