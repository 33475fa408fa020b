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

// configurationCall is the bit set in the numbers of store calls made by the
// configuration tracker. All other calls are made by the submission manager.
const configurationCall = 1 << 62

// Submit submits a caller's job. The reply carries the number call. If wait is
// set it is sent once the result is final, otherwise once the job is accepted
// or refused.
func (m *Machine) Submit(now time.Time, call uint64, j job.Job, wait bool, out *Actions) {
	m.submissions.Submit(now, call, j, wait, &m.fromSubmissions)
	m.processOutputs(now, out)
}

// Show requests a job's result. If wait is set, the reply is sent once the
// result is final.
func (m *Machine) Show(now time.Time, call uint64, id string, wait bool, out *Actions) {
	m.submissions.Show(now, call, id, wait, &m.fromSubmissions)
	m.processOutputs(now, out)
}

// Cancel cancels a job.
func (m *Machine) Cancel(now time.Time, call uint64, id string, out *Actions) {
	m.submissions.Cancel(now, call, id, &m.fromSubmissions)
	m.processOutputs(now, out)
}

// HandleDisconnect drops a call whose caller has disconnected. The job
// continues.
func (m *Machine) HandleDisconnect(now time.Time, call uint64) {
	m.submissions.HandleDisconnect(now, call)
}

// IssueIDs returns n new submission ids whose home is this incarnation of the
// instance.
func (m *Machine) IssueIDs(now time.Time, n int) ([]string, *fault.Error) {
	return m.submissions.IssueIDs(now, n)
}

// Admit returns why a job must be refused as not run, or nil. It checks the
// job's class and team against the current configuration, then asks the
// scheduler. It doesn't check for a planned stop: the submission manager refuses
// new jobs during one, but continues a job whose store call to claim its id was
// in flight when the stop began.
func (m *Machine) Admit(now time.Time, j *job.Job) *fault.Error {
	if f := m.checkReady(); f != nil {
		return f
	}
	if f := m.checkNames(j); f != nil {
		return f
	}
	return m.scheduler.Admit(now, j)
}

// Finished reports how an attempt to run a task ended. A repeated report, or
// one for an earlier attempt, has no effect.
func (m *Machine) Finished(now time.Time, e End, out *Actions) {
	r, ok := m.running[e.Ref]
	if !ok || r.attempt != e.Attempt {
		return
	}
	delete(m.running, e.Ref)
	if r.stopRequested && e.Outcome != endpoint.Answered {
		// The end of a stopped task says nothing about the endpoint's health.
		m.endpoints.Stopped(now, r.endpoint, e.Load, &m.fromEndpoints)
	} else {
		m.endpoints.Finished(now, r.endpoint, e.Outcome, e.RunTime, r.expectedRunTime, e.Load, &m.fromEndpoints)
	}
	if e.Outcome == endpoint.Answered {
		m.estimator.Observe(now, r.key, e.RunTime)
		m.statistics.recordRunTime(e.Ref.Submission, e.RunTime)
	}
	m.statistics.taskFinished(r.key.Class, r.key.Team)
	m.history.add(Step{Time: now, Ref: e.Ref, Kind: stepKindOf(e.Outcome), Endpoint: r.endpoint, Reason: e.Reason})
	m.submissions.Finished(now, e.Ref, e.Attempt, e.Outcome, e.Answer, &m.fromSubmissions)
	m.scheduler.Finished(now, e.Ref, e.Outcome, e.RunTime, e.Load, &m.fromScheduler)
	m.processOutputs(now, out)
}

// SetEndpoints replaces the list of endpoints with the one read from the
// platform. It ignores an empty list.
func (m *Machine) SetEndpoints(now time.Time, list []endpoint.Info, out *Actions) {
	if len(list) == 0 {
		// A platform fault is more likely than the loss of every endpoint.
		return
	}
	m.listedEndpoints = make(map[string]endpoint.Info, len(list))
	for _, info := range list {
		m.listedEndpoints[info.ID] = info
	}
	m.endpoints.Update(now, list, &m.fromEndpoints)
	m.scheduler.SetEndpoints(now, list, &m.fromScheduler)
	m.processOutputs(now, out)
}

// SetInstances replaces the list of instances with the one read from the
// platform.
func (m *Machine) SetInstances(now time.Time, list []instance.Info, out *Actions) {
	m.selfListed = slices.ContainsFunc(list, func(i instance.Info) bool { return i.ID == m.settings.Self.ID })
	m.membership.HandleList(now, list, &m.fromMembership)
	m.updatePeers(out)
	m.processOutputs(now, out)
}

// Change requests a configuration change. Its result is added to
// Actions.Changes under the change's id.
func (m *Machine) Change(now time.Time, c configuration.Change, out *Actions) {
	m.configuration.Change(now, c, &m.fromConfiguration)
	m.processOutputs(now, out)
}

// HandleStoreReply handles the reply to a call from Actions.Calls.
func (m *Machine) HandleStoreReply(now time.Time, r storage.Reply, out *Actions) {
	if r.Number&configurationCall != 0 {
		r.Number &^= configurationCall
		m.handleConfigurationReply(now, r, out)
	} else {
		m.submissions.HandleStoreReply(now, r, &m.fromSubmissions)
	}
	m.processOutputs(now, out)
}

// HandlePeerDisconnected handles the loss of the connection to a peer
// incarnation.
func (m *Machine) HandlePeerDisconnected(now time.Time, ref instance.Ref, out *Actions) {
	m.membership.HandleStreamLost(now, ref, &m.fromMembership)
	m.processOutputs(now, out)
}

// HandlePeerConnected handles a new connection to a peer incarnation.
func (m *Machine) HandlePeerConnected(now time.Time, info instance.Info, out *Actions) {
	m.membership.HandleHeartbeat(now, info, &m.fromMembership)
	m.processOutputs(now, out)
}

// Tick runs the timers that are due.
func (m *Machine) Tick(now time.Time, out *Actions) {
	m.submissions.Tick(now, &m.fromSubmissions)
	m.scheduler.Tick(now, &m.fromScheduler)
	m.endpoints.Tick(now, &m.fromEndpoints)
	m.membership.Tick(now, &m.fromMembership)
	m.configuration.Tick(now, &m.fromConfiguration)
	m.processOutputs(now, out)
}

// BeginStop begins a planned stop: the instance refuses new jobs as not run and
// finishes accepted ones. Idle reports whether the stop is complete.
func (m *Machine) BeginStop(now time.Time, out *Actions) {
	m.stopping = true
	m.membership.SetDraining(now, &m.fromMembership)
	m.submissions.BeginStop(now, &m.fromSubmissions)
	m.processOutputs(now, out)
}

// Receive handles a message from another instance. It answers a message that is
// not addressed to this incarnation with message.Stale.
func (m *Machine) Receive(now time.Time, msg message.Message, out *Actions) {
	if !m.isReceiver(msg.To) {
		m.replyStale(msg, out)
		return
	}
	m.handleMessage(now, msg)
	m.processOutputs(now, out)
}

func (m *Machine) handleMessage(now time.Time, msg message.Message) {
	switch body := msg.Body.(type) {
	case message.Heartbeat:
		m.handleHeartbeat(now, msg, body)
		return
	case message.Want, message.Grant, message.Return:
		m.scheduler.Receive(now, msg, &m.fromScheduler)
	case message.ConfigurationRequest:
		m.configuration.HandleRequest(now, msg.From, &m.fromConfiguration)
	case message.Configuration:
		m.configuration.HandleDocument(now, body.Document, &m.fromConfiguration)
	default:
		m.submissions.Receive(now, msg, &m.fromSubmissions)
	}
	m.membership.HandleMessage(now, msg.From, &m.fromMembership)
}

func (m *Machine) handleHeartbeat(now time.Time, msg message.Message, n message.Heartbeat) {
	m.peerVersions[n.Info.ID] = n.ConfigurationVersion
	m.membership.HandleHeartbeat(now, n.Info, &m.fromMembership)
	m.configuration.HandleVersion(now, msg.From, n.ConfigurationVersion, &m.fromConfiguration)
	if n.Info.DataCentre == m.settings.Self.DataCentre {
		m.endpoints.HandleSignals(now, msg.From, n.Signals, &m.fromEndpoints)
	}
	m.scheduler.Receive(now, msg, &m.fromScheduler)
}
