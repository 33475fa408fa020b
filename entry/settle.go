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
	// stopRetry is the retry hint of a refusal while the instance stops; the
	// balancer picks another one by then.
	stopRetry = 100 * time.Millisecond
	// readyRetry is the hint while the configuration is not known yet.
	readyRetry = time.Second
)

// settle passes what the parts put out on to each other, until none has more
// to say, and collects the rest as actions.
func (m *Machine) settle(now time.Time, out *Actions) {
	for m.pending() {
		m.takeMembership(now, out)
		m.takeConfiguration(now, out)
		m.takeEndpoints(now, out)
		m.takeSubmissions(now, out)
		m.takeScheduler(now, out)
	}
	out.Wake = m.Next()
}

func (m *Machine) pending() bool {
	s, d, e, i, c := &m.fromSubmissions, &m.fromScheduler, &m.fromEndpoints, &m.fromMembership, &m.fromConfiguration
	return len(s.Enqueue)+len(s.Drop)+len(s.Stop)+len(s.Ended)+len(s.Messages)+len(s.Replies)+len(s.Calls)+len(s.Events) > 0 ||
		len(d.Starts)+len(d.Stops)+len(d.Messages)+len(d.Events) > 0 ||
		len(e.Changed)+len(e.Events) > 0 ||
		len(i.Joined)+len(i.Lost)+len(i.Leaving)+len(i.Heartbeats)+len(i.Events) > 0 ||
		len(c.Calls)+len(c.Requests)+len(c.Deliveries)+len(c.Answers)+len(c.Events) > 0 ||
		c.InForce || c.Announce != configuration.Nobody
}

func (m *Machine) takeSubmissions(now time.Time, out *Actions) {
	from := &m.fromSubmissions
	for _, ref := range from.Stop {
		m.stop(ref, out)
	}
	for _, id := range from.Drop {
		m.scheduler.Remove(now, id, &m.fromScheduler)
	}
	for _, b := range from.Enqueue {
		m.enqueue(now, b)
	}
	for _, e := range from.Ended {
		m.ended(now, e)
	}
	out.Messages = append(out.Messages, from.Messages...)
	out.Replies = append(out.Replies, from.Replies...)
	out.Events = append(out.Events, from.Events...)
	out.Calls = append(out.Calls, from.Calls...)
	// The wake time holds until the submissions' next input.
	wake := from.Wake
	from.Reset()
	from.Wake = wake
}

func (m *Machine) enqueue(now time.Time, b submission.Batch) {
	if b.Accepted.Equal(now) {
		m.history.add(Step{Time: now, Ref: task.Ref{Submission: b.Job.SubmissionID, Index: wholeJob}, What: Accepted})
		m.statistics.accepted(b.Job.SubmissionID)
	}
	m.statistics.waiting(b.Job.Class, b.Job.Team, len(b.Indexes))
	m.scheduler.Enqueue(now, b.Job, b.Accepted, b.Indexes, &m.fromScheduler)
}

func (m *Machine) ended(now time.Time, e submission.Ended) {
	s := Step{Time: now, Ref: task.Ref{Submission: e.SubmissionID, Index: wholeJob}, What: Ended, Why: e.State.String()}
	if e.Fault != nil {
		s.Why = e.Fault.Error()
	}
	m.history.add(s)
	d := m.configuration.Current()
	c, _ := d.Class(e.Class)
	m.statistics.ended(e, c.Target)
}

func (m *Machine) takeScheduler(now time.Time, out *Actions) {
	from := m.fromScheduler
	m.fromScheduler = dispatch.Output{}
	d := &from
	for _, s := range d.Starts {
		m.send(now, s, out)
	}
	for _, s := range d.Stops {
		m.stop(s.Ref, out)
	}
	out.Messages = append(out.Messages, d.Messages...)
	out.Events = append(out.Events, d.Events...)
	clear(d.Starts)
	if m.fromScheduler.Starts == nil {
		m.fromScheduler.Starts = d.Starts[:0]
	}
}

// send records a start before the driver carries it out.
func (m *Machine) send(now time.Time, s dispatch.Start, out *Actions) {
	info, _ := m.endpoint(s.Endpoint)
	attempt, ok := m.submissions.Sent(now, s.Ref, s.Endpoint)
	if !ok {
		// The job ended meanwhile; its slot comes back.
		m.scheduler.Withdraw(now, s.Ref, &m.fromScheduler)
		return
	}
	m.endpoints.Sent(now, s.Endpoint)
	m.statistics.sent(s.Job.Class, s.Job.Team)
	m.history.add(Step{Time: now, Ref: s.Ref, What: Sent, Endpoint: s.Endpoint, Waited: now.Sub(s.Accepted)})
	t := &s.Job.Tasks[s.Ref.Index]
	key := task.Key{Class: s.Job.Class, Team: s.Job.Team, Kind: t.Kind}
	m.running[s.Ref] = run{
		attempt:  attempt,
		key:      key,
		endpoint: s.Endpoint,
		expected: m.estimator.Estimate(key, t.RunTime).Median,
	}
	out.Starts = append(out.Starts, Start{Ref: s.Ref, Attempt: attempt, Job: s.Job, Endpoint: info, Epoch: s.Epoch, Lease: m.settings.Lease})
}

// stop asks once to stop a task whose answer is not wanted any more.
func (m *Machine) stop(ref task.Ref, out *Actions) {
	r, ok := m.running[ref]
	info, listed := m.endpoint(r.endpoint)
	if !ok || !listed || r.stopped {
		return
	}
	r.stopped = true
	m.running[ref] = r
	out.Stops = append(out.Stops, Stop{Ref: ref, Endpoint: info})
}

func (m *Machine) endpoint(id string) (endpoint.Info, bool) {
	info, ok := m.listed[id]
	return info, ok
}

func (m *Machine) takeEndpoints(now time.Time, out *Actions) {
	e := &m.fromEndpoints
	out.Events = append(out.Events, e.Events...)
	if len(e.Changed) > 0 {
		m.scheduler.Refresh(now, e.Changed, &m.fromScheduler)
	}
	*e = endpoint.Output{Changed: e.Changed[:0], Events: e.Events[:0]}
}

func (m *Machine) takeMembership(now time.Time, out *Actions) {
	i := &m.fromMembership
	for _, ref := range i.Lost {
		m.submissions.PeerLost(now, ref, &m.fromSubmissions)
		m.scheduler.PeerLost(now, ref, &m.fromScheduler)
	}
	if len(i.Joined)+len(i.Lost)+len(i.Leaving) > 0 {
		m.tellPeers(out)
		m.submissions.SetInstances(now, m.membership.Live(), &m.fromSubmissions)
		m.scheduler.SetInstances(now, m.membership.InDataCentre(m.settings.Self.DataCentre), &m.fromScheduler)
	}
	for _, h := range i.Heartbeats {
		out.Messages = append(out.Messages, m.heartbeat(now, h))
	}
	out.Events = append(out.Events, i.Events...)
	*i = instance.Output{Joined: i.Joined[:0], Lost: i.Lost[:0], Leaving: i.Leaving[:0], Heartbeats: i.Heartbeats[:0], Events: i.Events[:0]}
}

func (m *Machine) heartbeat(now time.Time, h instance.Heartbeat) message.Message {
	n := message.Notice{Info: m.membership.Self(), ConfigurationVersion: m.configuration.Current().Version}
	if h.Near {
		n.Signals = m.endpoints.Signals(now)
	}
	for _, b := range m.scheduler.Backlogs() {
		n.Backlog = append(n.Backlog, b.Wait)
	}
	return message.Message{From: n.Info.Ref, To: h.To.Ref, Body: n}
}

func (m *Machine) takeConfiguration(now time.Time, out *Actions) {
	c := m.fromConfiguration
	m.fromConfiguration = configuration.Output{}
	if c.InForce {
		d := m.configuration.Current()
		m.submissions.SetClasses(now, d.Classes)
		m.scheduler.SetConfiguration(now, &d, &m.fromScheduler)
	}
	if c.Announce != configuration.Nobody {
		m.membership.Announce(now, c.Announce == configuration.All, &m.fromMembership)
	}
	for _, call := range c.Calls {
		m.callForConfiguration(now, call, out)
	}
	for _, to := range c.Requests {
		m.message(to, message.ConfigurationRequest{}, out)
	}
	for _, d := range c.Deliveries {
		m.message(d.To, message.Configuration{Document: d.Document}, out)
	}
	out.Changes = append(out.Changes, c.Answers...)
	out.Events = append(out.Events, c.Events...)
}

// callForConfiguration hands out a call if the circuit, which all callers of
// the store share, allows it. Otherwise the call ends as not applied.
func (m *Machine) callForConfiguration(now time.Time, c storage.Call, out *Actions) {
	if !m.circuit.Allow(now) {
		m.configuration.Replied(now, storage.Reply{Number: c.Number, Fate: storage.NotApplied}, &m.fromConfiguration)
		return
	}
	c.Number |= configurationCall
	out.Calls = append(out.Calls, c)
}

// configurationReplied tells the circuit and the configuration of a reply.
func (m *Machine) configurationReplied(now time.Time, r storage.Reply, out *Actions) {
	switch {
	case r.Fate == storage.Done && m.circuit.Succeeded():
		out.Events = append(out.Events, event.Record{Kind: event.StoreUp})
	case r.Fate != storage.Done && m.circuit.Failed(now):
		out.Events = append(out.Events, event.Record{Kind: event.StoreDown})
	}
	m.configuration.Replied(now, r, &m.fromConfiguration)
}

func (m *Machine) message(to instance.Ref, body message.Body, out *Actions) {
	out.Messages = append(out.Messages, message.Message{From: m.settings.Self.Ref, To: to, Body: body})
}

// tellPeers gives the driver the addresses of all instances known.
func (m *Machine) tellPeers(out *Actions) {
	out.Peers = []instance.Info{}
	for _, s := range m.membership.Instances() {
		out.Peers = append(out.Peers, s.Info)
	}
}

// meant reports whether a message is for this incarnation.
func (m *Machine) meant(to instance.Ref) bool {
	self := m.settings.Self.Ref
	if to.ID != self.ID || to.DataCentre != self.DataCentre {
		return false
	}
	return to.Incarnation == 0 || to.Incarnation == self.Incarnation
}

// refuseStale tells the sender of a request that its receiver is gone.
func (m *Machine) refuseStale(msg message.Message, out *Actions) {
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
	m.message(msg.From, message.Stale{Request: request}, out)
}

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
