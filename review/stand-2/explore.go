package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The flags of the exploration: its seed, its length, and the faults in it.
var (
	exploreSeed  = flag.Uint64("seed", 1, "seed of the exploration")
	exploreTime  = flag.Duration("for", 40*time.Second, "length of the exploration")
	exploreKinds = flag.String("faults", "kill,stop,term,crash,config", "kinds of faults of the exploration")
	exploreGap   = flag.Duration("gap", 1500*time.Millisecond, "mean time between two faults")
	exploreLeave = flag.Float64("breaks", 0, "share of the requests whose connection breaks")
	exploreWork  = flag.Duration("work", 550*time.Millisecond, "longest run time of a task")
	exploreLimit = flag.Duration("limit", 4*time.Second, "how long a caller waits")
	exploreMem   = flag.Int("mem", 110000, "MiB that some tasks need beside cold workers")
	exploreCold  = flag.Duration("cold", 0, "how long all workers are cold, some tasks needing most of their memory")
	exploreLoad  = flag.Int("callers", 12, "number of callers")
)

// attempt is one answer that a client got.
type attempt struct {
	status int
	text   string
}

// explore sends jobs of several steps, with spread and required labels, beside random
// faults, and checks every rule that the workers and the clients can see.
func explore(s *site, trouble bool) verdict {
	rng := rand.New(rand.NewPCG(*exploreSeed, 3))
	guards := *exploreSeed%2 == 0
	for i := range 12 {
		if _, err := s.addWorker(zones[i/2%len(zones)].name, fmt.Sprintf("r%d", i/2), []string{"a", "a", "b"}[i%3], 32000, guards); err != nil {
			return verdict{err: err}
		}
	}
	s.configure(7, guards)
	if *exploreCold > 0 {
		for _, w := range s.workers {
			b := w.boot
			w.crash()
			w.coldFor = *exploreCold
			_ = w.start(b.kind, b.cpu)
		}
	}
	if err := s.startNodes(); err != nil {
		return verdict{err: err}
	}
	end := time.Now().Add(*exploreTime)
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string][]attempt{}
	for c := range *exploreLoad {
		crng := rand.New(rand.NewPCG(*exploreSeed, uint64(100+c)))
		wg.Go(func() {
			for time.Now().Before(end) {
				j := randomJob(s.record, crng)
				list := s.submitUntilAnswered(j, crng.IntN(len(s.nodes)), *exploreLimit)
				mu.Lock()
				answers[j.id] = list
				mu.Unlock()
				time.Sleep(time.Duration(crng.ExpFloat64() * float64(100*time.Millisecond)))
			}
		})
	}
	if trouble {
		s.injectUntil(end, rng)
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	return verdict{broken: s.checkAll(answers)}
}

func randomJob(r *record, rng *rand.Rand) *job {
	var steps []step
	ms := 50 + rng.IntN(int(exploreWork.Milliseconds())-50)
	requires := []string{"", "", "a", "b"}[rng.IntN(4)]
	spread := []int{0, 0, 1, 2}[rng.IntN(4)]
	for i := range 1 + rng.IntN(3) {
		st := step{Count: 1 + rng.IntN(5), CPU: 4000 + 1000*rng.IntN(10), MemMB: 64, EstimateMs: int(float64(ms) * (0.7 + 0.6*rng.Float64())), Requires: requires, AntiAffinity: spread}
		if i > 0 {
			st.After = []int{i - 1}
		}
		steps = append(steps, st)
	}
	if *exploreCold > 0 && rng.IntN(3) == 0 {
		for i := range steps {
			steps[i].CPU, steps[i].MemMB = 2000, *exploreMem
		}
	}
	return newJob(r, ms, steps...)
}

// submitUntilAnswered sends a job, and again elsewhere while it gets no definite answer.
func (s *site) submitUntilAnswered(j *job, at int, limit time.Duration) (list []attempt) {
	end := time.Now().Add(limit)
	for time.Until(end) > 50*time.Millisecond {
		patience := time.Until(end)
		if *exploreLeave > 0 && rand.Float64() < *exploreLeave {
			patience = min(patience, time.Duration(50+rand.IntN(600))*time.Millisecond) // then the connection breaks
		}
		status, text, err := s.callFor(http.MethodPost, s.nodes[at].front(), j.id, j.body(), time.Until(end), patience)
		if err != nil {
			status = 0
		}
		list = append(list, attempt{status, text})
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return list
		}
		at = (at + 1) % len(s.nodes)
		time.Sleep(resendDelay)
	}
	return list
}

// injectUntil injects faults, one after another, until the end.
func (s *site) injectUntil(end time.Time, rng *rand.Rand) {
	kinds := strings.Split(*exploreKinds, ",")
	version := 7
	var wg sync.WaitGroup
	busy := make([]bool, len(s.nodes)+len(s.workers))
	var mu sync.Mutex
	take := func(i int) bool {
		mu.Lock()
		defer mu.Unlock()
		if busy[i] {
			return false
		}
		busy[i] = true
		return true
	}
	done := func(i int) {
		mu.Lock()
		defer mu.Unlock()
		busy[i] = false
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(*exploreGap)))
		kind, i, d := kinds[rng.IntN(len(kinds))], rng.IntN(len(s.nodes)), time.Duration(300+rng.IntN(3700))*time.Millisecond
		k := rng.IntN(len(s.workers))
		other := rng.IntN(2) == 0
		wg.Go(func() {
			switch kind {
			case "kill", "stop", "term":
				if !take(i) {
					return
				}
				defer done(i)
				n := s.nodes[i]
				s.record.logf("fault %s on %s for %s", kind, n.id, d)
				switch kind {
				case "kill":
					n.signal(syscall.SIGKILL)
					<-n.ended
					time.Sleep(d / 3)
					_ = n.start(false)
				case "stop":
					n.signal(syscall.SIGSTOP)
					time.Sleep(d)
					n.signal(syscall.SIGCONT)
				case "term":
					n.signal(syscall.SIGTERM)
					select {
					case <-n.ended:
					case <-time.After(6 * time.Second):
						n.signal(syscall.SIGKILL)
						<-n.ended
					}
					_ = n.start(false)
				}
				time.Sleep(500 * time.Millisecond)
			case "crash":
				if !take(len(s.nodes) + k) {
					return
				}
				defer done(len(s.nodes) + k)
				w := s.workers[k]
				w.mu.Lock()
				b := w.boot
				w.mu.Unlock()
				if b == nil {
					return
				}
				w.crash()
				if other {
					time.Sleep(d)
				} else {
					time.Sleep(d / 10)
				}
				_ = w.start(b.kind, b.cpu)
			case "lost", "late", "refuse":
				w := s.workers[k]
				set := func(x float64) {
					w.mu.Lock()
					defer w.mu.Unlock()
					switch kind {
					case "lost":
						w.lost = x
					case "late":
						w.late = x
					default:
						w.refused = x
					}
				}
				s.record.logf("fault %s on %s for %s", kind, w.id, d)
				set(0.3)
				time.Sleep(d)
				set(0)
			case "drain":
				if !take(len(s.nodes) + k) {
					return
				}
				defer done(len(s.nodes) + k)
				w := s.workers[k]
				w.mu.Lock()
				b := w.boot
				w.mu.Unlock()
				b.drain(2500 * time.Millisecond)
				time.Sleep(2500*time.Millisecond + d/2)
				w.crash()
				if other {
					s.store.remove("servers", w.id)
					time.Sleep(d / 2)
				}
				_ = w.start(b.kind, b.cpu)
			case "store":
				s.record.logf("fault store for %s", d)
				set := func(x bool) {
					s.store.mu.Lock()
					defer s.store.mu.Unlock()
					if other {
						s.store.busy = x
					} else {
						s.store.silent = x
					}
				}
				set(true)
				time.Sleep(d)
				set(false)
			case "config":
				mu.Lock()
				version += 1 + int(d)%3
				v := version
				mu.Unlock()
				s.configure(v, s.workers[0].guards)
			}
		})
	}
	wg.Wait()
	for _, n := range s.nodes {
		n.signal(syscall.SIGCONT)
	}
}

// checkAll checks the rules that all runs and answers must keep.
func (s *site) checkAll(answers map[string][]attempt) (broken []string) {
	runs := s.record.allRuns()
	byTask, byJob := map[string][]taskRun{}, map[string][]taskRun{}
	for _, t := range runs {
		byTask[t.task] = append(byTask[t.task], t)
		byJob[t.job] = append(byJob[t.job], t)
		j := s.record.jobOf(t.job)
		if j == nil {
			broken = append(broken, "UNASKED: "+t.task)
			continue
		}
		if required := j.steps[t.step].Requires; required != "" && !slices.Contains(t.labels, required) {
			broken = append(broken, fmt.Sprintf("ROUTE: %s requires %s, started on %s %v", t.task, required, t.worker, t.labels))
		}
		if !t.drainedAt.IsZero() && t.start.Sub(t.drainedAt) > 2*time.Second {
			broken = append(broken, fmt.Sprintf("DRAIN: %s started on %s at %.3f, %.0f ms after the store's ack", t.task, t.worker, t.start.Sub(s.record.started).Seconds(), t.start.Sub(t.drainedAt).Seconds()*1000))
		}
		if t.used > t.cpu {
			broken = append(broken, fmt.Sprintf("LIMIT: %s brought %s to %d of %d", t.task, t.worker, t.used, t.cpu))
		}
	}
	overlaps := func(a, b taskRun) bool { // a starts while b is under way
		return !b.start.After(a.start) && (b.end.IsZero() || b.end.After(a.start))
	}
	for task, list := range byTask {
		for i := range list {
			for k := range i {
				if overlaps(list[i], list[k]) {
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s at %.3f while run %d on %s", task, list[i].number, list[i].worker, list[i].start.Sub(s.record.started).Seconds(), list[k].number, list[k].worker))
				}
			}
		}
	}
	doneAt := func(job string, step, index int) (time.Time, bool) {
		for _, t := range byTask[job+".0."+strconv.Itoa(step)+"."+strconv.Itoa(index)] {
			if t.how == "done" {
				return t.end, true
			}
		}
		return time.Time{}, false
	}
	for id, list := range byJob {
		j := s.record.jobOf(id)
		for i, t := range list {
			for _, a := range j.steps[t.step].After {
				for index := range j.steps[a].Count {
					if at, ok := doneAt(id, a, index); !ok || at.After(t.start) {
						broken = append(broken, fmt.Sprintf("ORDER: %s started at %.3f before task %d of step %d was done", t.task, t.start.Sub(s.record.started).Seconds(), index, a))
					}
				}
			}
			if limit := j.steps[t.step].AntiAffinity; limit > 0 {
				n := 1
				for k, o := range list {
					if k != i && o.worker == t.worker && o.step == t.step && overlaps(t, o) && (o.start.Before(t.start) || k < i) {
						n++
					}
				}
				if n > limit {
					broken = append(broken, fmt.Sprintf("ROUTE: %s is task %d of its step on %s at %.3f, limit %d", t.task, n, t.worker, t.start.Sub(s.record.started).Seconds(), limit))
				}
			}
		}
	}
	counts := map[int]int{}
	for id, list := range answers {
		j := s.record.jobOf(id)
		rejected := true
		for _, a := range list {
			counts[a.status]++
			rejected = rejected && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests)
			if a.status == http.StatusOK && strings.Contains(a.text, "complete") {
				for st := range j.steps {
					for index := range j.steps[st].Count {
						if _, ok := doneAt(id, st, index); !ok {
							broken = append(broken, fmt.Sprintf("MIXED: %s was answered as complete, step %d task %d has not ended so", id, st, index))
						}
					}
				}
			}
		}
		if rejected && len(list) > 0 && len(byJob[id]) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was rejected and has %d runs", id, len(byJob[id])))
		}
	}
	s.record.logf("%d jobs, %d runs, answers %v", len(answers), len(runs), counts)
	fmt.Println(len(answers), "jobs,", len(runs), "runs, answers", counts)
	return broken
}
