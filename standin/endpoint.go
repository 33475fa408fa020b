package standin

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// startRetention is the minimum time for which the record of a start is
	// kept.
	startRetention = 10 * time.Minute
	// usageMaxAge is the maximum age of the usage report.
	usageMaxAge = 2 * time.Second
	// defaultSlots is the number of slots of an endpoint that sets none.
	defaultSlots = 8
)

type (
	// EndpointFaults are the faults that an endpoint stand-in injects. The zero
	// value injects none.
	EndpointFaults struct {
		// Draining refuses each start, and reports the endpoint as draining in
		// each reply.
		Draining bool
		// Full refuses each start as if all slots were occupied.
		Full bool
		// Broken refuses each start with reason "broken".
		Broken bool
		// FailAll fails each task immediately.
		FailAll bool
		// Slowdown multiplies run times; zero and 1 mean normal speed.
		Slowdown float64
		// DropBeforeStart closes the connection of each start without a reply
		// and without running the task. The caller cannot tell whether it ran.
		DropBeforeStart bool
		// DropAfterStart runs each task to its end, then closes the connection
		// without a reply.
		DropAfterStart bool
		// DelayReply delays the reply to each start by this time after the task
		// has ended.
		DelayReply time.Duration
		// RunRepeats runs a start again if it is received again, so that a test
		// can count the duplicate runs of a faulty dispatcher.
		RunRepeats bool
		// NoOutcomeQueries answers queries for the outcome of a start with
		// status 404.
		NoOutcomeQueries bool
	}

	// EndpointCounts are counters of an endpoint stand-in.
	EndpointCounts struct {
		// Starts counts the starts that ran, Refused those that were refused,
		// and Repeated those that had already started and were not run again.
		Starts, Refused, Repeated uint64
		// MaxRunning is the highest number of tasks that ran at the same time.
		MaxRunning int
	}

	// Endpoint is a stand-in for an endpoint. It is an [http.Handler].
	Endpoint struct {
		info   endpoint.Info
		faults atomic.Pointer[EndpointFaults]
		router *httprouter.Router

		mu      sync.Mutex
		running map[task.Ref]*run
		// recentStarts and olderStarts are two generations of records of starts.
		// olderStarts is discarded when the generations rotate.
		recentStarts, olderStarts map[task.Ref]*startRecord
		rotatedAt                 time.Time
		// epochs is the highest epoch among the starts from each home. The epoch
		// is the fencing token of the home's lease: a start with a lower one is
		// refused.
		epochs map[instance.Ref]uint64
		// createdAt is when the endpoint began to keep records of starts.
		createdAt time.Time
		// restarted reports whether Restart has discarded earlier records.
		restarted bool
		counts    EndpointCounts
		usage     usageReport
		usageAt   time.Time
	}

	// startRecord is the record of one start.
	startRecord struct {
		// fenced means that the start must be refused, since a query for its
		// outcome came first and was answered as not run.
		fenced bool
		// runs is the number of times that the task was run.
		runs int
		// reply is the reply of the last run that ended; nil if none has.
		reply *startReply
	}
)

// NewEndpoint returns an idle endpoint with the given description. It has
// defaultSlots slots if info.Slots is zero.
func NewEndpoint(info endpoint.Info) *Endpoint {
	if info.Slots == 0 {
		info.Slots = defaultSlots
	}
	e := &Endpoint{info: info, router: httprouter.New(), createdAt: time.Now()}
	e.faults.Store(&EndpointFaults{})
	e.reset()
	e.router.POST("/v1/tasks", e.handleStart)
	e.router.POST("/v1/tasks/fate", e.handleOutcomeQuery)
	e.router.POST("/v1/tasks/throttle", e.handleThrottle)
	e.router.POST("/v1/tasks/checkpoint", e.handleCheckpoint)
	e.router.POST("/v1/tasks/stop", e.handleStop)
	e.router.GET("/v1/status", e.handleStatus)
	e.router.GET("/v1/usage", e.handleUsage)
	return e
}

// Info returns the endpoint's description.
func (e *Endpoint) Info() endpoint.Info { return e.info }

// SetFaults replaces the endpoint's faults.
func (e *Endpoint) SetFaults(f EndpointFaults) { e.faults.Store(&f) }

// Restart simulates a crash: it ends all running tasks without a reply and
// discards the records of all starts.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.running {
		r.requestEnd(endCrashed)
	}
	e.reset()
	e.restarted = true
}

// reset discards the running tasks, the records of starts and the epochs.
func (e *Endpoint) reset() {
	e.running = make(map[task.Ref]*run)
	e.recentStarts = make(map[task.Ref]*startRecord)
	e.olderStarts = nil
	e.rotatedAt = time.Now()
	e.epochs = make(map[instance.Ref]uint64)
}

// Counts returns the counters since NewEndpoint.
func (e *Endpoint) Counts() EndpointCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// RunCounts returns the number of runs of each task that is on record.
func (e *Endpoint) RunCounts() map[task.Ref]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[task.Ref]int, len(e.recentStarts)+len(e.olderStarts))
	for _, generation := range []map[task.Ref]*startRecord{e.olderStarts, e.recentStarts} {
		for ref, s := range generation {
			if s.runs > 0 {
				counts[ref] = s.runs
			}
		}
	}
	return counts
}

// ServeHTTP answers one request.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// findStart returns the record of a start, or nil if there is none.
func (e *Endpoint) findStart(ref task.Ref) *startRecord {
	if s, ok := e.recentStarts[ref]; ok {
		return s
	}
	return e.olderStarts[ref]
}

// findOrAddStart returns the record of a start, which it adds if there is none.
// It rotates the generations once the recent one is older than startRetention.
func (e *Endpoint) findOrAddStart(now time.Time, ref task.Ref) *startRecord {
	if now.Sub(e.rotatedAt) > startRetention {
		e.olderStarts, e.recentStarts, e.rotatedAt = e.recentStarts, make(map[task.Ref]*startRecord), now
	}
	s := e.findStart(ref)
	if s == nil {
		s = &startRecord{}
		e.recentStarts[ref] = s
	}
	return s
}

func (e *Endpoint) currentLoad() endpointLoad {
	return endpointLoad{Running: len(e.running), Draining: e.faults.Load().Draining}
}

func (e *Endpoint) handleStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	reply := statusReply{endpointLoad: e.currentLoad(), Slots: e.info.Slots}
	e.mu.Unlock()
	writeReply(w, http.StatusOK, reply)
}

func (e *Endpoint) handleUsage(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	now := time.Now()
	e.mu.Lock()
	if now.Sub(e.usageAt) >= usageMaxAge {
		e.usage, e.usageAt = e.measureUsage(), now
	}
	reply := e.usage
	e.mu.Unlock()
	writeReply(w, http.StatusOK, reply)
}

// measureUsage returns the resources that the running tasks declared.
func (e *Endpoint) measureUsage() usageReport {
	report := usageReport{LagMS: usageMaxAge.Milliseconds(), Tasks: []taskUsage{}}
	for ref, r := range e.running {
		report.Tasks = append(report.Tasks, taskUsage{
			SubmissionID: ref.Submission, Index: ref.Index,
			Cores: r.needs.Cores, MemoryBytes: r.needs.MemoryBytes, Accelerators: r.needs.Accelerators,
		})
	}
	return report
}
