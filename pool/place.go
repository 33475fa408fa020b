package pool

import (
	"math"
	"slices"
	"time"

	"github.com/lovagecrank/lovagecrank/message"
	"github.com/lovagecrank/lovagecrank/run"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// usualWeight is the weight of a new job in the usual needs of a service.
	usualWeight = 0.02
	// loadWeight makes the load decide between endpoints of about the same
	// pace, as the learnt pace is off by about that much.
	loadWeight = 0.05
	// otherRack is how many times longer a task takes away from its data; the
	// platform's sites say two to three.
	otherRack = 3
)

// place gives free places to the most urgent tasks, whether they wait here or
// at a peer.
func (m *Machine) place(now time.Time, out *Output) {
	m.resolve(now, out)
	var full []string
	for _, j := range slices.Clone(m.queue) {
		if j.ended || slices.Contains(full, j.Queue.Service) {
			continue
		}
		m.offerBefore(now, j.Queue.Service, j, out)
		if !m.placeJob(now, j, out) {
			full = append(full, j.Queue.Service)
		}
	}
	m.offerRest(now, out)
}

// offerRest offers the places that no own task has taken, once for each service
// for which tasks wait at peers.
func (m *Machine) offerRest(now time.Time, out *Output) {
	var offered []string
	for _, p := range m.nearPeers {
		for _, r := range p.rooms {
			if len(r.Waits) > 0 && !slices.Contains(offered, r.Service) {
				offered = append(offered, r.Service)
				m.offerBefore(now, r.Service, nil, out)
			}
		}
	}
}

// placeJob places the waiting tasks of a job and reports whether all found a
// place.
func (m *Machine) placeJob(now time.Time, j *homeJob, out *Output) bool {
	var rest []*homeTask
	all := true
	for i, t := range j.waiting {
		if t.state != waiting {
			continue
		}
		if !m.placeTask(now, t, out) {
			rest = append(rest, t)
			all = false
			if j.Steps[t.step].Spread == 0 {
				rest = append(rest, j.waiting[i+1:]...)
				break
			}
		}
	}
	j.waiting = rest
	if len(rest) == 0 {
		m.dequeue(j)
	}
	return all
}

// placeTask starts a task here or at a peer, if there is room.
func (m *Machine) placeTask(now time.Time, t *homeTask, out *Output) bool {
	s := m.request(t)
	if h := m.pick(now, s); h != nil {
		nextRun(t, &s)
		t.holder = m.cfg.Self.Ref
		t.endpoint = h.info.ID
		m.begin(now, h, m.cfg.Self.Ref, s, out)
		return true
	}
	if t.job.Steps[t.step].Spread > 0 && m.unknownPlace(t) {
		return false
	}
	p := m.peerWithRoom(s.Service, s.Needs)
	if p == nil {
		return false
	}
	m.placeAt(t, p, s, out)
	return true
}

// placeAt asks the peer to run the task.
func (m *Machine) placeAt(t *homeTask, p *peer, s message.StartRun, out *Output) {
	nextRun(t, &s)
	t.holder = p.info.Ref
	m.send(p.info.Ref, s, out)
}

// nextRun gives the task's next run its number.
func nextRun(t *homeTask, s *message.StartRun) {
	t.number++
	t.state = placed
	t.notBefore = time.Time{}
	s.Run = run.Ref{Task: t.name, Number: t.number}
}

// request returns what a holder needs to know of the task.
func (m *Machine) request(t *homeTask) message.StartRun {
	j := t.job
	step := j.Steps[t.step]
	s := message.StartRun{
		Service:  j.Queue.Service,
		Spec:     j.Spec,
		Needs:    step.Needs,
		Estimate: step.Estimate,
		Requires: step.Requires,
		Rack:     step.Rack,
	}
	if step.Spread > 0 {
		s.Avoid = crowded(j.steps[t.step], step.Spread)
		s.TellStart = true // others of the step wait for where it runs
	}
	return s
}

// crowded returns the endpoints on which that many of the tasks run or ran.
func crowded(tasks []*homeTask, spread int) []string {
	counts := map[string]int{}
	var list []string
	for _, t := range tasks {
		if t.endpoint == "" {
			continue
		}
		counts[t.endpoint]++
		if counts[t.endpoint] == spread {
			list = append(list, t.endpoint)
		}
	}
	return list
}

// unknownPlace reports whether the endpoint of another task of the step is not
// known yet.
func (m *Machine) unknownPlace(t *homeTask) bool {
	for _, o := range t.job.steps[t.step] {
		if o != t && o.state == placed && o.endpoint == "" {
			return true
		}
	}
	return false
}

// pick returns the best endpoint held here that can run the task now, or nil:
// one of the wanted rack, then the fastest, then the emptiest.
func (m *Machine) pick(now time.Time, s message.StartRun) *held {
	var best *held
	bestScore := math.Inf(1)
	for _, h := range m.mine {
		if !h.takes(now, s) {
			continue
		}
		score := h.score(s)
		if score < bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// takes reports whether the endpoint can run the task now.
func (h *held) takes(now time.Time, s message.StartRun) bool {
	if !h.ready(now) || h.info.Service != s.Service {
		return false
	}
	if h.info.Slots > 0 && len(h.runs)+h.reserved >= h.info.Slots {
		return false
	}
	if s.Requires != "" && !slices.Contains(h.info.Labels, s.Requires) || slices.Contains(s.Avoid, h.info.ID) {
		return false
	}
	return within(sum(h.used, s.Needs, 1), h.info.Size)
}

// ready reports whether the endpoint may get work at all.
func (h *held) ready(now time.Time) bool {
	if !h.open || h.releasing || h.info.Leaving || !h.clock.known() || h.silent(now) {
		return false
	}
	usable, trial := h.health.usable(now)
	return usable && (!trial || len(h.runs) == 0)
}

// score orders endpoints that can run a task; lower is better.
func (h *held) score(s message.StartRun) float64 {
	pace := h.health.pace
	if pace == 0 {
		pace = 1
	}
	if s.Rack != "" && h.info.Rack != s.Rack {
		pace *= otherRack
	}
	load := 0.0
	if h.info.Size.Cores > 0 {
		load = h.used.Cores / h.info.Size.Cores
	}
	return pace + loadWeight*load
}

// places returns how many tasks of the usual size the endpoint can run in all
// and how many more now.
func (h *held) places(now time.Time, usual task.Needs) (all, free int) {
	if !h.ready(now) {
		return 0, 0
	}
	all = fits(usual, h.info.Size, h.info.Slots)
	left := sum(h.info.Size, h.used, -1)
	free = fits(usual, left, h.info.Slots-len(h.runs)) - h.reserved
	return all, max(free, 0)
}

// fits returns how many tasks of that size the room has place for.
func fits(usual, room task.Needs, slots int) int {
	n := max(slots, 0)
	if usual.Cores > 0 {
		n = min(n, int(room.Cores/usual.Cores+1e-6))
	}
	if usual.MemoryBytes > 0 {
		n = min(n, int(room.MemoryBytes/usual.MemoryBytes))
	}
	return max(n, 0)
}

// totals returns the places of a service that are held here.
func (m *Machine) totals(now time.Time, service string) (all, free int) {
	usual := m.usual[service]
	for _, h := range m.mine {
		if h.info.Service == service {
			a, f := h.places(now, usual)
			all += a
			free += f
		}
	}
	return all, free
}

// largest returns what is left on the endpoint held here that has the most
// cores left.
func (m *Machine) largest(now time.Time, service string) task.Needs {
	var most task.Needs
	for _, h := range m.mine {
		if h.info.Service != service || !h.ready(now) || len(h.runs)+h.reserved >= h.info.Slots {
			continue
		}
		if left := sum(h.info.Size, h.used, -1); left.Cores > most.Cores {
			most = left
		}
	}
	return most
}

func (m *Machine) freePlaces(now time.Time, service string) int {
	_, free := m.totals(now, service)
	return free
}

// learnNeeds takes the needs of a job into what is usual.
func (m *Machine) learnNeeds(j *homeJob) {
	if j.learnt {
		return
	}
	j.learnt = true
	for _, s := range j.Steps {
		usual, ok := m.usual[j.Queue.Service]
		if !ok {
			m.usual[j.Queue.Service] = s.Needs
			continue
		}
		weight := min(usualWeight*float64(s.Tasks), 1)
		usual.Cores += weight * (s.Needs.Cores - usual.Cores)
		usual.MemoryBytes += int64(weight * float64(s.Needs.MemoryBytes-usual.MemoryBytes))
		m.usual[j.Queue.Service] = usual
	}
}
