package pool

import (
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// tellSoon is the least time between two messages of which the second has
	// news that peers wait for: a few one-way delays between data centres.
	tellSoon = 4 * time.Millisecond
	// tellLater is the least time for news that shift where tasks go first,
	// and tellSeldom that for news that hardly do.
	tellLater  = 40 * time.Millisecond
	tellSeldom = 200 * time.Millisecond
	// messageTime is about the processor time of one message to one peer.
	// soonShare and laterShare are the parts of the processor that the two
	// kinds of news may take: the users' target for control is 3.9 % in all,
	// and only where much waits are there news of the first kind all the time.
	messageTime = 40 * time.Microsecond
	soonShare   = 0.05
	laterShare  = 0.01
	// smallShift is the part by which the number of free places may change
	// without that mattering to peers.
	smallShift = 0.2
)

// vacanciesState is what some peers were told of this instance.
type vacanciesState struct {
	last message.Vacancies
	at   time.Time
	told []*peer
}

// room returns what the peer told of a service, or nil.
func (p *peer) room(service string) *message.Room { return roomOf(p.rooms, service) }

// roomOf returns the room of a service, or nil.
func roomOf(rooms []message.Room, service string) *message.Room {
	for i := range rooms {
		if rooms[i].Service == service {
			return &rooms[i]
		}
	}
	return nil
}

// learnVacancies takes in what a peer has free and waits for.
func (p *peer) learnVacancies(now time.Time, v message.Vacancies) {
	p.rooms, p.roomsAt = v.Rooms, now
}

// tellVacancies sends the audience what is free and waits here if that has
// changed.
func (m *Machine) tellVacancies(now time.Time, out *Output) {
	if due := m.vacancies.at.Add(tellSoon); now.Before(due) {
		out.wakeAt(due)
		return
	}
	v := m.ownVacancies(now)
	wait := m.newsWait(v)
	if wait < 0 {
		return
	}
	if due := m.vacancies.at.Add(wait); now.Before(due) {
		out.wakeAt(due)
		return
	}
	m.vacancies.last, m.vacancies.at = v, now
	m.leaveOut(m.audience(), out)
	m.vacancies.told = m.audience()
	for _, p := range m.vacancies.told {
		m.send(p.info.Ref, v, out)
	}
}

// leaveOut tells the peers that belong to the audience no more that there is
// nothing for them here.
func (m *Machine) leaveOut(audience []*peer, out *Output) {
	for _, p := range m.vacancies.told {
		if m.peers[p.info.Ref] == p && !slices.Contains(audience, p) {
			m.send(p.info.Ref, message.Vacancies{}, out)
		}
	}
}

// newsWait returns how long after the last vacancies these should be told;
// negative means that they have no news.
func (m *Machine) newsWait(v message.Vacancies) time.Duration {
	if len(v.Rooms) != len(m.vacancies.last.Rooms) {
		return tellSoon
	}
	wait := time.Duration(-1)
	for _, r := range v.Rooms {
		var old message.Room
		if told := roomOf(m.vacancies.last.Rooms, r.Service); told != nil {
			old = *told
		}
		switch {
		case moreWaits(r.Waits, old.Waits):
			return m.pace(tellSoon, soonShare)
		case (r.Free == 0) != (old.Free == 0), shifts(r.Free, old.Free), r.Places != old.Places, fewerWaits(r.Waits, old.Waits):
			wait = m.pace(tellLater, laterShare)
		case wait < 0 && (r.Free != old.Free || r.Largest != old.Largest):
			wait = m.pace(tellSeldom, laterShare)
		}
	}
	return wait
}

// pace returns the least time between two messages of news that may take that
// share of the processor. A small machine tells them less often, and so does one
// with many to tell.
func (m *Machine) pace(least time.Duration, share float64) time.Duration {
	cost := time.Duration(len(m.audience())) * messageTime
	return max(least, time.Duration(float64(cost)/(share*m.cfg.Self.Size())))
}

// shifts reports whether the number of free places has changed so far that
// tasks should go elsewhere.
func shifts(now, told int) bool {
	return float64(max(now, told)-min(now, told)) > smallShift*float64(max(now, told))
}

// moreWaits reports whether peers would offer too few places by what they
// know, or places for less urgent tasks.
func moreWaits(now, told []message.Wait) bool {
	for _, w := range now {
		if w.Tasks > tasksOf(told, w.Priority) {
			return true
		}
	}
	return false
}

// fewerWaits reports whether peers would offer too many places by what they
// know.
func fewerWaits(now, told []message.Wait) bool {
	for _, w := range told {
		if w.Tasks > tasksOf(now, w.Priority) {
			return true
		}
	}
	return false
}

func tasksOf(waits []message.Wait, priority int) int {
	for _, w := range waits {
		if w.Priority == priority {
			return w.Tasks
		}
	}
	return 0
}

// ownVacancies returns what the peers should know of the places here.
func (m *Machine) ownVacancies(now time.Time) message.Vacancies {
	var v message.Vacancies
	for _, h := range m.mine {
		addRoom(&v, h.info.Service)
	}
	for _, j := range m.queue {
		addWaits(now, addRoom(&v, j.Queue.Service), j)
	}
	for i := range v.Rooms {
		r := &v.Rooms[i]
		r.Places, r.Free = m.totals(now, r.Service)
		r.Largest = m.largest(now, r.Service)
		if len(r.Waits) > 0 {
			r.Free = 0 // own tasks take what is left
		}
	}
	return v
}

func addRoom(v *message.Vacancies, service string) *message.Room {
	if r := roomOf(v.Rooms, service); r != nil {
		return r
	}
	v.Rooms = append(v.Rooms, message.Room{Service: service})
	return &v.Rooms[len(v.Rooms)-1]
}

// addWaits adds the waiting tasks of a job, which is less urgent than those
// added before.
func addWaits(now time.Time, r *message.Room, j *homeJob) {
	last := len(r.Waits) - 1
	if last < 0 || r.Waits[last].Priority != j.Queue.Priority {
		r.Waits = append(r.Waits, message.Wait{Priority: j.Queue.Priority, Slack: max(j.startBy.Sub(now), 0)})
		last++
	}
	w := &r.Waits[last]
	for _, t := range j.waiting {
		step := j.Steps[t.step]
		w.Tasks++
		w.Work += step.Estimate
		w.Needs = larger(w.Needs, step.Needs)
	}
}

func larger(a, b task.Needs) task.Needs {
	return task.Needs{
		Cores:        max(a.Cores, b.Cores),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
