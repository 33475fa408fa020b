package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// recoverBound is recoveryS.
const recoverBound = 12 * time.Second

// The disruption: two releases, each of half of the workers, and new workers that are slow
// for coldTime.
const (
	releases = 2
	coldTime = 120 * time.Second
)

// The load: jobs arrive at a fixed mean rate, whatever becomes of the earlier ones, and a
// share of them has tasks that need most of a worker's memory.
const (
	jobsPerSecond = 25
	largeEvery    = 3
	largeMemoryMB = 110000
)

// served counts the requests of a span of time.
type served struct{ ok, all int }

func (c served) belowQuarter() bool { return 4*c.ok < c.all }

// coldRecover: a release replaces workers by new ones, which are cold, and a third of the
// jobs have tasks that need more than half of a worker's memory. Then all processes are
// killed at once.
func coldRecover(s *site, trouble bool) verdict {
	if err := s.start(12, "a", 32000, true); err != nil {
		return verdict{err: err}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var before, after served
	var killedAt, backAt, endAt time.Time
	began := time.Now()
	over := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !endAt.IsZero() && time.Now().After(endAt)
	}
	wg.Go(func() {
		rng := rand.New(rand.NewPCG(rand.Uint64(), 1))
		for !over() {
			j, n := s.mixedJob(rng), s.nodes[rng.IntN(len(s.nodes))]
			wg.Go(func() {
				sent := time.Now()
				status, _, _ := s.call(http.MethodPost, n.front(), j.id, j.body(), 4*time.Second)
				mu.Lock()
				defer mu.Unlock()
				c := &before
				switch {
				case killedAt.IsZero() || sent.Before(killedAt):
				case sent.After(backAt.Add(recoverBound)):
					c = &after
				default:
					return
				}
				c.all++
				if status == http.StatusOK {
					c.ok++
				}
			})
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / jobsPerSecond))
		}
	})
	time.Sleep(15 * time.Second)
	first := slices.Clone(s.workers)
	if trouble {
		for i := range releases {
			if err := s.release(first[i*len(first)/releases : (i+1)*len(first)/releases]); err != nil {
				return verdict{err: err}
			}
		}
	} else {
		time.Sleep(time.Duration(len(first)) * releaseGap)
	}
	time.Sleep(noticeTime)
	mu.Lock()
	killedAt = time.Now()
	mu.Unlock()
	s.record.logf("all instances are killed")
	for _, n := range s.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range s.nodes {
		<-n.ended
		if err := n.start(false); err != nil {
			return verdict{err: err}
		}
	}
	mu.Lock()
	backAt = time.Now()
	endAt = backAt.Add(recoverBound + 20*time.Second)
	mu.Unlock()
	wg.Wait()
	fmt.Printf("before %d of %d, later than recoveryS %d of %d; streams lost %d; %.0f s\n", before.ok, before.all, after.ok, after.all, s.countInLogs("Peer lost"), time.Since(began).Seconds())
	s.record.logf("before %d of %d, later than recoveryS %d of %d", before.ok, before.all, after.ok, after.all)
	v := verdict{}
	if after.belowQuarter() && !before.belowQuarter() {
		v.broken = append(v.broken, fmt.Sprintf("RECOVER: of the requests sent later than %s after the machines were back %d of %d were served, %d of %d before", recoverBound, after.ok, after.all, before.ok, before.all))
	}
	return v
}

// mixedJob returns a job; one in largeEvery needs most of a worker's memory.
func (s *site) mixedJob(rng *rand.Rand) *job {
	ms := 50 + rng.IntN(750)
	st := step{Count: 1 + rng.IntN(5), CPU: 4000 + 1000*rng.IntN(10), MemMB: 64, EstimateMs: ms}
	if rng.IntN(largeEvery) == 0 {
		st.CPU, st.MemMB = 2000, envInt("LARGE_MB", largeMemoryMB)
	}
	return newJob(s.record, ms, st)
}

// noticeTime is the time from a worker's notice to its end, and releaseGap the time
// between two workers of a release.
const (
	noticeTime = 3 * time.Second
	releaseGap = time.Second
)

// release replaces workers one after the other: the new one starts first, cold, and the
// old one drains and leaves.
func (s *site) release(workers []*worker) error {
	for _, old := range workers {
		n := len(s.workers)
		w := &worker{id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), address: s.at(50+n, workPort), zone: old.zone, rack: old.rack, service: old.service, guards: old.guards, record: s.record, store: s.store, coldFor: coldTime}
		s.workers = append(s.workers, w)
		if err := w.start("a", 32000); err != nil {
			return err
		}
		old.mu.Lock()
		b := old.boot
		old.mu.Unlock()
		b.drain(noticeTime)
		time.AfterFunc(noticeTime, func() {
			old.crash()
			s.store.remove("servers", old.id)
		})
		time.Sleep(releaseGap)
	}
	return nil
}
