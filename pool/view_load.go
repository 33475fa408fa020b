package pool

import (
	"time"

	"github.com/lovagecrank/lovagecrank/admission"
	"github.com/lovagecrank/lovagecrank/capacity"
	"github.com/lovagecrank/lovagecrank/message"
)

// installationLoad returns the work ahead of a job in the whole installation, by
// the views of the data centres. For a data centre without a view, it uses the
// reports of the peers there, scaled to all of its instances.
func (m *Machine) installationLoad(now time.Time, j *homeJob) admission.Load {
	service, rank := j.Queue.Service, j.rank()
	var l admission.Load
	var drift capacity.Drift
	mean := totalWork(j.Job) / time.Duration(max(j.unfinished, 1))
	add := func(dc string, c message.Capacity, age time.Duration) {
		if m.evacuations.contains(dc) { // what waits there has to go elsewhere
			c.Slots, c.Free = 0, 0
		}
		l.Slots += c.Slots
		l.Free += c.Free
		l.AddBacklog(c.Backlog, rank)
		l.UrgentSlots += admission.UrgentSlots(c.Arrivals, j.priorityAhead())
		l.Arrivals += admission.AllSlots(c.Arrivals)
		drift.Add(capacity.DriftOf(admission.SlotsAhead(c.Arrivals, rank), c.Slots-c.Free, age, mean))
	}
	if v, ok := m.latestView(now, m.cfg.Self.DataCentre); ok {
		add(v.DataCentre, v.Capacity(service), v.Age(now))
		m.addOwnChanges(now, v, j, &l)
	} else {
		add(m.cfg.Self.DataCentre, m.localCapacity(now, service), 0)
	}
	for _, dc := range m.neighbourhood.dataCentres {
		if v, ok := m.latestView(now, dc); ok {
			add(dc, v.Capacity(service), v.Age(now))
		} else if m.reaches(dc) {
			add(dc, m.reportedCapacity(now, dc, service), 0)
		}
	}
	l.AddDrift(drift, mean)
	return l
}

// addOwnChanges adds what has changed at this instance since a view of its data
// centre was made.
func (m *Machine) addOwnChanges(now time.Time, v capacity.View, j *homeJob, l *admission.Load) {
	report, ok := m.ownReportIn(v)
	if !ok {
		return
	}
	service := j.Queue.Service
	current := capacityOf(m.ownFreeSlots(now).Capacities, service)
	before := capacityOf(report.capacities, service)
	var added, removed admission.Load
	if current != nil {
		added.Slots, added.Free = current.Slots, current.Free
		added.AddBacklog(current.Backlog, j.rank())
	}
	if before != nil {
		removed.Slots, removed.Free = before.Slots, before.Free
		removed.AddBacklog(before.Backlog, j.rank())
	}
	if !m.evacuations.contains(m.cfg.Self.DataCentre) {
		l.Slots = max(l.Slots+added.Slots-removed.Slots, 0)
		l.Free = max(l.Free+added.Free-removed.Free, 0)
	}
	l.Tasks = max(l.Tasks+added.Tasks-removed.Tasks, 0)
	l.Work = max(l.Work+added.Work-removed.Work, 0)
}

// localCapacity returns the capacity of the local data centre as its peers that
// report to this instance know it, scaled to all listed instances there.
func (m *Machine) localCapacity(now time.Time, service string) message.Capacity {
	own := capacity.Report{Capacities: m.ownFreeSlots(now).Capacities}
	return m.scaledCapacity(now, []capacity.Report{own}, m.cfg.Self.DataCentre, len(m.listedLocal())+1, service)
}

// reportedCapacity is like localCapacity for a remote data centre.
func (m *Machine) reportedCapacity(now time.Time, dc, service string) message.Capacity {
	return m.scaledCapacity(now, nil, dc, len(m.neighbourhood.listed[dc]), service)
}

// scaledCapacity adds the reports of the peers in a data centre and scales the
// sum to the number of its instances, but not beyond the slots that are listed
// there.
func (m *Machine) scaledCapacity(now time.Time, reports []capacity.Report, dc string, instances int, service string) message.Capacity {
	for _, p := range m.sortedPeers {
		if p.info.DataCentre == dc && len(p.capacities) > 0 {
			reports = append(reports, capacity.Report{Capacities: p.capacities, Age: now.Sub(p.capacitiesAt)})
		}
	}
	merged := capacity.Merge(reports)
	c := capacityOf(merged, service)
	if c == nil || c.Slots == 0 {
		return message.Capacity{Service: service}
	}
	factor := max(float64(instances)/float64(len(reports)), 1)
	if listed := m.listedSlotsIn(dc, service); listed > 0 {
		factor = min(factor, max(listed/float64(c.Slots), 1))
	}
	sum := []message.Capacity{*c}
	capacity.Scale(sum, factor)
	return sum[0]
}

// listedSlotsIn returns how many tasks the listed endpoints of a service in a data
// centre are expected to run.
func (m *Machine) listedSlotsIn(dc, service string) float64 {
	sizes, total := m.sizesOf(service), 0.0
	for _, e := range m.endpointsByDataCentre[dc] {
		if e.info.Service == service && !e.info.Draining {
			total += sizes.fits(e.info.Size, e.info.Slots)
		}
	}
	return total
}
