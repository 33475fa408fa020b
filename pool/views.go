package pool

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/capacity"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

const (
	// mergers is how many instances of a data centre add up its capacity. The
	// second one is there in case the first one is lost or slow.
	mergers = 2
	// viewCPUShare is the share of a merger's processor for the reports that it
	// receives, and for the views that it sends.
	viewCPUShare = 0.02
	// minViewPeriod is the shortest time between two reports or views: less than
	// the wait that a job with a short goal can bear. reportRepeatPeriod is how
	// often a report that has not changed is repeated.
	minViewPeriod      = 150 * time.Millisecond
	reportRepeatPeriod = 500 * time.Millisecond
)

type (
	// viewState is what this instance knows of whole data centres, and what it has
	// sent about its own.
	viewState struct {
		table    capacity.Table
		sequence uint64
		// reports are the last reports of the local peers, by instance.
		reports map[instance.Ref]receivedReport
		// own are the own reports of the last ownReportTime, the oldest first.
		own []ownReport
		// lastReport is the last report sent to the mergers, at reportedAt.
		lastReport message.FreeSlots
		reportedAt time.Time
		mergedAt   time.Time
		// dueAt is when something may have to be sent next.
		dueAt time.Time
	}

	receivedReport struct {
		capacities []message.Capacity
		at         time.Time
		sequence   uint64
	}
)

// usesViews reports whether the installation is so large that an instance knows
// only a part of it from its peers' reports.
func (m *Machine) usesViews() bool { return !m.neighbourhood.fullMesh() }

// mergerPeers returns the connected local peers that are mergers, the first one
// first, and whether this instance is one.
func (m *Machine) mergerPeers() (list []*peer, self bool) {
	self = !m.draining
	before := 0
	for _, p := range m.sortedPeers {
		if p.info.DataCentre != m.cfg.Self.DataCentre {
			break
		}
		if !p.canHold() {
			continue
		}
		if readsFirst(p.info, m.cfg.Self) {
			before++
		}
		at, _ := slices.BinarySearchFunc(list, p, func(a, b *peer) int {
			if readsFirst(a.info, b.info) {
				return -1
			}
			return 1
		})
		if list = slices.Insert(list, at, p); len(list) > mergers {
			list = list[:mergers]
		}
	}
	self = self && before < mergers
	if self {
		list = list[:min(len(list), mergers-1)]
	}
	return list, self
}

// viewInterval returns the time between two messages from or to count instances
// for a merger of the given size.
func viewInterval(count int, size float64) time.Duration {
	return max(minViewPeriod, time.Duration(float64(count)*float64(messageCost)/(viewCPUShare*size)))
}

// broadcastViews sends the own report to the mergers of this data centre that do
// not receive its free slots anyway and, if this instance is one of them, the
// views that it knows.
func (m *Machine) broadcastViews(now time.Time, out *Output) {
	if !m.usesViews() {
		return
	}
	if now.Before(m.views.dueAt) {
		out.wakeAt(m.views.dueAt)
		return
	}
	m.views.dueAt = now.Add(minViewPeriod)
	list, self := m.mergerPeers()
	m.sendReport(now, slices.DeleteFunc(list, func(p *peer) bool { return slices.Contains(m.freeSlots.recipients, p) }), out)
	if self {
		m.sendViews(now, out)
	}
	out.wakeAt(m.views.dueAt)
}

// sendReport sends the own report to the mergers. It is a view of one instance.
func (m *Machine) sendReport(now time.Time, to []*peer, out *Output) {
	if len(to) == 0 {
		return
	}
	interval := viewInterval(len(m.listedLocal()), to[len(to)-1].info.Size())
	if now.Before(m.views.reportedAt.Add(interval)) {
		return
	}
	v := m.ownFreeSlots(now)
	if now.Sub(m.views.reportedAt) < reportRepeatPeriod && !reportChanged(v, m.views.lastReport) {
		return
	}
	m.views.lastReport, m.views.reportedAt = v, now
	m.recordOwnReport(now, toMergers, v.Capacities)
	m.views.sequence++
	body := message.DataCentreViews{Views: []message.DataCentreView{{
		DataCentre: m.cfg.Self.DataCentre, Merger: m.cfg.Self.Ref, Sequence: m.views.sequence, Instances: 1, Capacities: v.Capacities,
	}}}
	for _, p := range to {
		m.send(p.info.Ref, body, out)
	}
}

// reportChanged reports whether the mergers should learn of the change. The slack
// and the rates of arrivals change all the time.
func reportChanged(v, sent message.FreeSlots) bool {
	if len(v.Capacities) != len(sent.Capacities) {
		return true
	}
	for i, c := range v.Capacities {
		o := sent.Capacities[i]
		if c.Service != o.Service || c.Slots != o.Slots || c.Free != o.Free || backlogShifted(c.Backlog, o.Backlog, 0) || backlogShifted(o.Backlog, c.Backlog, 0) {
			return true
		}
	}
	return false
}

// sendViews adds up the reports of this data centre and sends its view to the
// local peers, with the views of other data centres, and to a contact in each of
// those. The second merger does so only while the first one's views are missing.
func (m *Machine) sendViews(now time.Time, out *Output) {
	local := len(m.localPeers())
	contacts := m.viewContacts()
	period := viewInterval(local+len(contacts), m.cfg.Self.Size())
	if now.Before(m.views.mergedAt.Add(period)) {
		return
	}
	m.views.mergedAt = now
	own := m.mergeReports(now)
	if v, ok := m.latestView(now, own.DataCentre); ok && v.Merger != own.Merger && !v.Stale(now, period) && v.Covers(own.Instances) && m.preferredMerger(v.Merger, own.Merger) {
		return // this instance only stands in for the other one
	}
	if err := m.views.table.Put(now, own); err != nil {
		return // the clock was set back, so that the next one is due later
	}
	body := message.DataCentreViews{Views: []message.DataCentreView{own}}
	for _, dc := range slices.Sorted(maps.Keys(contacts)) {
		list := contacts[dc]
		m.send(list[int(m.views.sequence%uint64(len(list)))].info.Ref, body, out)
	}
	for _, dc := range m.neighbourhood.dataCentres {
		if v, ok := m.latestView(now, dc); ok {
			passed := v.DataCentreView
			passed.Age = v.Age(now)
			body.Views = append(body.Views, passed)
		}
	}
	for _, p := range m.localPeers() {
		m.send(p.info.Ref, body, out)
	}
}

// viewContacts returns the connected peers in each other data centre. Each one
// gets a view in turn, so that one that is slow or does not pass views on delays
// only its part of them.
func (m *Machine) viewContacts() map[string][]*peer {
	contacts := map[string][]*peer{}
	for _, p := range m.sortedPeers[len(m.localPeers()):] {
		if p.canHold() {
			contacts[p.info.DataCentre] = append(contacts[p.info.DataCentre], p)
		}
	}
	return contacts
}

// mergeReports returns the view of this data centre. The endpoints of peers that
// send no reports are assumed to be as busy as the others.
func (m *Machine) mergeReports(now time.Time) message.DataCentreView {
	own := m.ownFreeSlots(now).Capacities
	m.recordOwnReport(now, mergedHere, own)
	reports := []capacity.Report{{Capacities: own}}
	missing := map[string]float64{}
	for _, p := range m.localPeers() {
		r, ok := m.views.reports[p.info.Ref]
		switch {
		case ok && !p.capacitiesAt.After(r.at):
			reports = append(reports, capacity.Report{Capacities: r.capacities, Age: now.Sub(r.at)})
		case len(p.capacities) > 0:
			reports = append(reports, capacity.Report{Capacities: p.capacities, Age: now.Sub(p.capacitiesAt)})
		default:
			m.addHeldSlots(p, missing)
		}
	}
	merged := capacity.Merge(reports)
	for i := range merged {
		if c := &merged[i]; missing[c.Service] > 0 && c.Slots > 0 {
			capacity.Scale(merged[i:i+1], 1+missing[c.Service]/float64(c.Slots))
		}
	}
	m.views.sequence++
	return message.DataCentreView{
		DataCentre: m.cfg.Self.DataCentre, Merger: m.cfg.Self.Ref, Sequence: m.views.sequence, Instances: len(reports), Capacities: merged,
	}
}

// addHeldSlots adds the slots of the endpoints that a peer holds, by service.
func (m *Machine) addHeldSlots(p *peer, slots map[string]float64) {
	for _, id := range p.status.Endpoints {
		if e := m.endpoints[id]; e != nil && !e.info.Draining && !m.evacuations.contains(e.info.DataCentre) {
			slots[e.info.Service] += m.sizesOf(e.info.Service).fits(e.info.Size, e.info.Slots)
		}
	}
}

// handleViews handles views that a peer has made or passes on. A view of one
// instance of this data centre is that instance's report.
func (m *Machine) handleViews(now time.Time, p *peer, b message.DataCentreViews, out *Output) {
	if !m.usesViews() {
		return
	}
	for _, v := range b.Views {
		local := v.DataCentre == m.cfg.Self.DataCentre
		switch {
		case local && v.Instances == 1:
			m.handleReport(now, p, v, out)
			continue
		case local && v.Merger != p.info.Ref, !local && m.neighbourhood.listed[v.DataCentre] == nil:
			continue // not from its merger, or of an unknown data centre
		}
		if err := m.views.table.Put(now, v); err != nil {
			m.logInvalidView(err, p, out)
			continue
		}
		if p.info.DataCentre != m.cfg.Self.DataCentre {
			m.passOn(v, out)
		}
	}
}

func (m *Machine) logInvalidView(err error, p *peer, out *Output) {
	if errors.Is(err, capacity.ErrInvalid) {
		out.log(event.ViewInvalid, p.info.ID, err.Error())
	}
}

func (m *Machine) handleReport(now time.Time, p *peer, v message.DataCentreView, out *Output) {
	if v.Merger != p.info.Ref || p.info.DataCentre != m.cfg.Self.DataCentre {
		return
	}
	if err := capacity.Check(v); err != nil {
		m.logInvalidView(err, p, out)
		return
	}
	if r, ok := m.views.reports[p.info.Ref]; ok && r.sequence >= v.Sequence {
		return
	}
	m.views.reports[p.info.Ref] = receivedReport{capacities: v.Capacities, at: now.Add(-v.Age), sequence: v.Sequence}
}

// passOn sends the view of another data centre to the mergers of this one, which
// send it to the other instances here.
func (m *Machine) passOn(v message.DataCentreView, out *Output) {
	list, _ := m.mergerPeers()
	for _, p := range list {
		m.send(p.info.Ref, message.DataCentreViews{Views: []message.DataCentreView{v}}, out)
	}
}

// forgetReports removes the reports of instances that are not connected.
func (m *Machine) forgetReports() {
	for ref := range m.views.reports {
		if m.peers[ref] == nil {
			delete(m.views.reports, ref)
		}
	}
}

// latestView returns the view of a data centre to use. A data centre that can't be
// reached has none.
func (m *Machine) latestView(now time.Time, dataCentre string) (capacity.View, bool) {
	if dataCentre != m.cfg.Self.DataCentre && !m.reaches(dataCentre) {
		return capacity.View{}, false
	}
	return m.views.table.Latest(now, dataCentre, m.preferredMerger)
}

// viewsInUse returns the latest views of all data centres.
func (m *Machine) viewsInUse(now time.Time) []capacity.View {
	var list []capacity.View
	for _, dc := range slices.Sorted(slices.Values(append(slices.Clone(m.neighbourhood.dataCentres), m.cfg.Self.DataCentre))) {
		if v, ok := m.latestView(now, dc); ok && m.usesViews() {
			list = append(list, v)
		}
	}
	return list
}

// preferredMerger reports whether merger a comes before b. Instances that are not
// listed come last.
func (m *Machine) preferredMerger(a, b instance.Ref) bool {
	x, known := m.listedInstance(a)
	y, otherKnown := m.listedInstance(b)
	if known != otherKnown {
		return known
	}
	return readsFirst(x, y)
}

func (m *Machine) listedInstance(ref instance.Ref) (instance.Info, bool) {
	if ref.ID == m.cfg.Self.ID {
		return m.cfg.Self, true
	}
	for _, i := range m.neighbourhood.listed[ref.DataCentre] {
		if i.ID == ref.ID {
			return i, true
		}
	}
	return instance.Info{Ref: ref}, false
}
