package entry

import (
	"time"

	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/dispatch"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/storage"
	"github.com/lovagecrank/lovagecrank/submission"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// stopRetry is the retry hint in refusals during a planned stop. It is short
	// because the load balancer sends the retry to another instance.
	stopRetry = 100 * time.Millisecond
	// readyRetry is the retry hint while the instance has no configuration or
	// no endpoints.
	readyRetry = time.Second
)

// processOutputs passes the components' outputs to each other until none is
// left, and appends the resulting actions to out.
func (m *Machine) processOutputs(now time.Time, out *Actions) {
	for m.hasOutput() {
		m.handleMembershipOutput(now, out)
		m.handleConfigurationOutput(now, out)
		m.handleEndpointOutput(now, out)
		m.handleSubmissionOutput(now, out)
		m.handleSchedulerOutput(now, out)
	}
	out.Wake = m.Next()
}

// hasOutput reports whether a component has output that processOutputs has not
// handled yet.
func (m *Machine) hasOutput() bool {
	s, d, e, i, c := &m.fromSubmissions, &m.fromScheduler, &m.fromEndpoints, &m.fromMembership, &m.fromConfiguration
	return len(s.Enqueue)+len(s.Drop)+len(s.Stop)+len(s.Ended)+len(s.Messages)+len(s.Replies)+len(s.StoreCalls)+len(s.Events) > 0 ||
		len(d.Starts)+len(d.Stops)+len(d.Messages)+len(d.Events) > 0 ||
		len(e.Changed)+len(e.Events) > 0 ||
		len(i.Joined)+len(i.Lost)+len(i.Draining)+len(i.Heartbeats)+len(i.Events) > 0 ||
		len(c.Calls)+len(c.Requests)+len(c.Deliveries)+len(c.Answers)+len(c.Events) > 0 ||
		c.NewVersion || c.Announce != configuration.NoScope
}

func (m *Machine) handleSubmissionOutput(now time.Time, out *Actions) {
	from := &m.fromSubmissions
	for _, ref := range from.Stop {
		m.stopTask(ref, out)
	}
	for _, id := range from.Drop {
		m.scheduler.Remove(now, id, &m.fromScheduler)
	}
	for _, b := range from.Enqueue {
		m.enqueueTasks(now, b)
	}
	for _, e := range from.Ended {
		m.recordJobEnd(now, e)
	}
	out.Messages = append(out.Messages, from.Messages...)
	out.Replies = append(out.Replies, from.Replies...)
	out.Events = append(out.Events, from.Events...)
	out.Calls = append(out.Calls, from.StoreCalls...)
	// The wake time stays valid until the submission manager's next input.
	wake := from.Wake
	from.Reset()
	from.Wake = wake
}

// enqueueTasks passes tasks to the scheduler: the tasks of a job that has just
// been accepted, or tasks that an endpoint refused.
func (m *Machine) enqueueTasks(now time.Time, b submission.QueuedTasks) {
	if b.Accepted.Equal(now) {
		m.history.add(Step{Time: now, Ref: task.Ref{Submission: b.Job.SubmissionID, Index: wholeJob}, Kind: Accepted})
		m.statistics.jobAccepted(b.Job.SubmissionID)
	}
	m.statistics.addWaiting(b.Job.Class, b.Job.Team, len(b.Indexes))
	m.scheduler.Enqueue(now, b.Job, b.Accepted, b.Indexes, &m.fromScheduler)
}

// recordJobEnd adds the end of a job to the history and the statistics.
func (m *Machine) recordJobEnd(now time.Time, e submission.EndedJob) {
	s := Step{Time: now, Ref: task.Ref{Submission: e.SubmissionID, Index: wholeJob}, Kind: Ended, Reason: e.State.String()}
	if e.Fault != nil {
		s.Reason = e.Fault.Error()
	}
	m.history.add(s)
	d := m.configuration.Current()
	c, _ := d.Class(e.Class)
	m.statistics.jobEnded(e, c.Target)
}

func (m *Machine) handleSchedulerOutput(now time.Time, out *Actions) {
	from := m.fromScheduler
	m.fromScheduler = dispatch.Output{}
	d := &from
	for _, s := range d.Starts {
		m.startTask(now, s, out)
	}
	for _, s := range d.Stops {
		m.stopTask(s.Ref, out)
	}
	out.Messages = append(out.Messages, d.Messages...)
	out.Events = append(out.Events, d.Events...)
	clear(d.Starts)
	if m.fromScheduler.Starts == nil {
		m.fromScheduler.Starts = d.Starts[:0]
	}
}

// startTask records a task start before the driver sends it.
func (m *Machine) startTask(now time.Time, s dispatch.Start, out *Actions) {
	info, _ := m.endpoint(s.Endpoint)
	attempt, ok := m.submissions.BeginAttempt(now, s.Ref, s.Endpoint)
	if !ok {
		// The job has ended in the meantime; return the slot to the scheduler.
		m.scheduler.CancelStart(now, s.Ref, &m.fromScheduler)
		return
	}
	m.endpoints.Sent(now, s.Endpoint)
	m.statistics.taskStarted(s.Job.Class, s.Job.Team)
	m.history.add(Step{Time: now, Ref: s.Ref, Kind: Sent, Endpoint: s.Endpoint, Waited: now.Sub(s.Accepted)})
	t := &s.Job.Tasks[s.Ref.Index]
	key := task.Key{Class: s.Job.Class, Team: s.Job.Team, Kind: t.Kind}
	m.running[s.Ref] = run{
		attempt:         attempt,
		key:             key,
		endpoint:        s.Endpoint,
		expectedRunTime: m.estimator.Estimate(key, t.RunTime).Median,
	}
	out.Starts = append(out.Starts, Start{Ref: s.Ref, Attempt: attempt, Job: s.Job, Endpoint: info, FencingToken: s.FencingToken, TaskTimeout: m.settings.TaskTimeout})
}

// stopTask requests, at most once, the stop of a task whose answer is no longer
// needed.
func (m *Machine) stopTask(ref task.Ref, out *Actions) {
	r, ok := m.running[ref]
	info, listed := m.endpoint(r.endpoint)
	if !ok || !listed || r.stopRequested {
		return
	}
	r.stopRequested = true
	m.running[ref] = r
	out.Stops = append(out.Stops, Stop{Ref: ref, Endpoint: info})
}

func (m *Machine) endpoint(id string) (endpoint.Info, bool) {
	info, ok := m.listedEndpoints[id]
	return info, ok
}

func (m *Machine) handleEndpointOutput(now time.Time, out *Actions) {
	e := &m.fromEndpoints
	out.Events = append(out.Events, e.Events...)
	if len(e.Changed) > 0 {
		m.scheduler.Refresh(now, e.Changed, &m.fromScheduler)
	}
	*e = endpoint.Output{Changed: e.Changed[:0], Events: e.Events[:0]}
}

func (m *Machine) handleMembershipOutput(now time.Time, out *Actions) {
	i := &m.fromMembership
	for _, ref := range i.Lost {
		m.submissions.PeerLost(now, ref, &m.fromSubmissions)
		m.scheduler.PeerLost(now, ref, &m.fromScheduler)
	}
	if len(i.Joined)+len(i.Lost)+len(i.Draining) > 0 {
		m.updatePeers(out)
		m.submissions.SetInstances(now, m.membership.Live(), &m.fromSubmissions)
		m.scheduler.SetInstances(now, m.membership.InDataCentre(m.settings.Self.DataCentre), &m.fromScheduler)
	}
	for _, h := range i.Heartbeats {
		out.Messages = append(out.Messages, m.newHeartbeat(now, h))
	}
	out.Events = append(out.Events, i.Events...)
	*i = instance.Output{Joined: i.Joined[:0], Lost: i.Lost[:0], Draining: i.Draining[:0], Heartbeats: i.Heartbeats[:0], Events: i.Events[:0]}
}

func (m *Machine) newHeartbeat(now time.Time, h instance.Heartbeat) message.Message {
	n := message.Heartbeat{Info: m.membership.Self(), ConfigurationVersion: m.configuration.Current().Version}
	if h.SameDataCentre {
		n.Signals = m.endpoints.Signals(now)
	}
	for _, b := range m.scheduler.Backlogs() {
		n.ExpectedWaits = append(n.ExpectedWaits, b.Wait)
	}
	return message.Message{From: n.Info.Ref, To: h.To.Ref, Body: n}
}

func (m *Machine) handleConfigurationOutput(now time.Time, out *Actions) {
	c := m.fromConfiguration
	m.fromConfiguration = configuration.Output{}
	if c.NewVersion {
		d := m.configuration.Current()
		m.submissions.SetClasses(now, d.Classes)
		m.scheduler.SetConfiguration(now, &d, &m.fromScheduler)
	}
	if c.Announce != configuration.NoScope {
		m.membership.Announce(now, c.Announce == configuration.All, &m.fromMembership)
	}
	for _, call := range c.Calls {
		m.addConfigurationCall(now, call, out)
	}
	for _, to := range c.Requests {
		m.addMessage(to, message.ConfigurationRequest{}, out)
	}
	for _, d := range c.Deliveries {
		m.addMessage(d.To, message.Configuration{Document: d.Document}, out)
	}
	out.Changes = append(out.Changes, c.Answers...)
	out.Events = append(out.Events, c.Events...)
}

// addConfigurationCall adds a store call of the configuration tracker if the
// circuit breaker, which all users of the store share, allows it. Otherwise the
// call ends as not applied.
func (m *Machine) addConfigurationCall(now time.Time, c storage.Call, out *Actions) {
	if !m.circuit.Allow(now) {
		m.configuration.HandleReply(now, storage.Reply{Number: c.Number, Outcome: storage.NotApplied}, &m.fromConfiguration)
		return
	}
	c.Number |= configurationCall
	out.Calls = append(out.Calls, c)
}

// handleConfigurationReply passes a store reply to the circuit breaker and the
// configuration tracker.
func (m *Machine) handleConfigurationReply(now time.Time, r storage.Reply, out *Actions) {
	switch {
	case r.Outcome == storage.Done && m.circuit.RecordSuccess():
		out.Events = append(out.Events, event.Record{Kind: event.StoreReachable})
	case r.Outcome != storage.Done && m.circuit.RecordFailure(now):
		out.Events = append(out.Events, event.Record{Kind: event.StoreUnreachable})
	}
	m.configuration.HandleReply(now, r, &m.fromConfiguration)
}

func (m *Machine) addMessage(to instance.Ref, body message.Body, out *Actions) {
	out.Messages = append(out.Messages, message.Message{From: m.settings.Self.Ref, To: to, Body: body})
}

// updatePeers sets out.Peers to all known instances.
func (m *Machine) updatePeers(out *Actions) {
	out.Peers = []instance.Info{}
	for _, s := range m.membership.Instances() {
		out.Peers = append(out.Peers, s.Info)
	}
}

// isReceiver reports whether to is this incarnation, or this instance with no
// incarnation given.
func (m *Machine) isReceiver(to instance.Ref) bool {
	self := m.settings.Self.Ref
	if to.ID != self.ID || to.DataCentre != self.DataCentre {
		return false
	}
	return to.Incarnation == 0 || to.Incarnation == self.Incarnation
}

// replyStale answers a message that is not addressed to this incarnation with
// message.Stale. It doesn't answer a Stale message.
func (m *Machine) replyStale(msg message.Message, out *Actions) {
	var request uint64
	switch body := msg.Body.(type) {
	case message.Submit:
		request = body.Request
	case message.Show:
		request = body.Request
	case message.Cancel:
		request = body.Request
	case message.Stale:
		return
	}
	m.addMessage(msg.From, message.Stale{Request: request}, out)
}

// checkNames returns an error if the job's class or team is not configured.
func (m *Machine) checkNames(j *job.Job) *fault.Error {
	d := m.configuration.Current()
	if _, ok := d.Class(j.Class); !ok {
		return fault.New(fault.UnknownClass, "%q", j.Class)
	}
	if _, ok := d.Team(j.Team); !ok {
		return fault.New(fault.UnknownTeam, "%q", j.Team)
	}
	return nil
}
