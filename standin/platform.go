package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/instance"
	"golang.org/x/time/rate"
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 64 << 20
	// defaultScanLimit is the maximum number of rows of a scan that sets no
	// limit.
	defaultScanLimit = 100
)

type (
	// PlatformOptions configures a platform stand-in. The zero value is usable.
	PlatformOptions struct {
		// WritesPerSecond and ReadsPerSecond are rate limits on the table and
		// the object store together; zero means no limit. Calls above the limit
		// are refused as not applied.
		WritesPerSecond, ReadsPerSecond int
		// ListLag is the maximum age of the lists of instances and endpoints.
		ListLag time.Duration
	}

	// PlatformFaults are the faults that a platform stand-in injects. The zero
	// value injects none.
	PlatformFaults struct {
		// Outage closes the connection of each call without effect or reply.
		Outage bool
		// Refuse refuses each call as not applied.
		Refuse bool
		// Delay delays each call before it takes effect.
		Delay time.Duration
		// LoseReplies applies each write and closes the connection without a
		// reply.
		LoseReplies bool
		// StaleReads serves reads and scans of the table from a replica, a copy
		// taken when SetFaults was last called with this fault on any view.
		StaleReads bool
	}

	// PlatformCounts counts the calls that took effect or were refused, over all
	// views.
	PlatformCounts struct {
		// Reads counts the reads and scans that were allowed, and Transactions
		// the transactions and object writes.
		Reads, Transactions uint64
		// RowsWritten counts the applied writes of rows and objects.
		RowsWritten uint64
		// Refused counts the calls that were refused as not applied.
		Refused uint64
	}

	// Platform is a stand-in for the platform: a table, an object store and
	// the lists of instances and endpoints. It is an [http.Handler].
	Platform struct {
		state  *platformState
		faults atomic.Pointer[PlatformFaults]
		router *httprouter.Router
	}

	// platformState is shared by all views of one platform.
	platformState struct {
		table     *table
		lists     *lists
		writes    *rate.Limiter
		reads     *rate.Limiter
		readCalls atomic.Uint64
		refused   atomic.Uint64
	}

	refusalReply struct {
		Outcome string `json:"fate"`
		Reason  string `json:"reason"`
	}

	keysRequest struct {
		Keys []string `json:"keys"`
	}

	scanRequest struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}

	rowsReply struct {
		Rows []tableRow `json:"rows"`
	}

	scanReply struct {
		Rows []tableRow `json:"rows"`
		More bool       `json:"more"`
	}

	transactionRequest struct {
		Writes []tableWrite `json:"writes"`
	}

	transactionReply struct {
		Rows    []tableRow `json:"rows"`
		Applied []bool     `json:"applied"`
	}
)

// NewPlatform returns an empty platform.
func NewPlatform(o PlatformOptions) *Platform {
	state := &platformState{
		table:  newTable(),
		lists:  newLists(o.ListLag),
		writes: newLimiter(o.WritesPerSecond),
		reads:  newLimiter(o.ReadsPerSecond),
	}
	return newView(state)
}

// View returns a handler of the same platform with its own faults, such as the
// platform as another data centre reaches it.
func (p *Platform) View() *Platform { return newView(p.state) }

func newView(state *platformState) *Platform {
	p := &Platform{state: state, router: httprouter.New()}
	p.faults.Store(&PlatformFaults{})
	p.router.POST("/v1/table/get", p.handleGetRows)
	p.router.GET("/v1/table/rows/*key", p.handleGetRow)
	p.router.POST("/v1/table/scan", p.handleScan)
	p.router.POST("/v1/table/transaction", p.handleTransaction)
	p.router.GET("/v1/objects/*key", p.handleGetObject)
	p.router.PUT("/v1/objects/*key", p.handlePutObject)
	p.router.GET("/v1/instances", p.handleListInstances)
	p.router.GET("/v1/endpoints", p.handleListEndpoints)
	p.router.PUT("/v1/instances/:id", p.handleAnnounceInstance)
	p.router.PUT("/v1/endpoints/:id", p.handleAnnounceEndpoint)
	return p
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetFaults replaces the faults of this view.
func (p *Platform) SetFaults(f PlatformFaults) {
	if f.StaleReads {
		p.state.table.snapshotReplica()
	}
	p.faults.Store(&f)
}

// Counts returns the counters so far, over all views.
func (p *Platform) Counts() PlatformCounts {
	transactions, rows := p.state.table.counts()
	return PlatformCounts{
		Reads:        p.state.readCalls.Load(),
		Transactions: transactions,
		RowsWritten:  rows,
		Refused:      p.state.refused.Load(),
	}
}

// SetInstance adds or replaces a row of the list of instances. It does not
// expire.
func (p *Platform) SetInstance(i instance.Info) {
	p.state.lists.setInstance(time.Now(), newInstanceRow(i))
}

// SetEndpoint adds or replaces a row of the list of endpoints. It does not
// expire.
func (p *Platform) SetEndpoint(i endpoint.Info) {
	p.state.lists.setEndpoint(time.Now(), newEndpointRow(i))
}

// RemoveInstance removes a row of the list of instances.
func (p *Platform) RemoveInstance(id string) { p.state.lists.removeInstance(id) }

// RemoveEndpoint removes a row of the list of endpoints.
func (p *Platform) RemoveEndpoint(id string) { p.state.lists.removeEndpoint(id) }

// ServeHTTP injects the faults that come before the effect of a call, then
// handles the call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := p.faults.Load()
	if !pause(r, f.Delay) || f.Outage {
		panic(http.ErrAbortHandler)
	}
	if f.Refuse {
		p.refuse(w, "fault")
		return
	}
	p.router.ServeHTTP(w, r)
}

// pause waits for d. It returns false if the request is cancelled first.
func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (p *Platform) refuse(w http.ResponseWriter, reason string) {
	p.state.refused.Add(1)
	writeReply(w, http.StatusServiceUnavailable, refusalReply{Outcome: "not_applied", Reason: reason})
}

// replyToWrite answers a write that was applied, or closes the connection if
// LoseReplies is set.
func (p *Platform) replyToWrite(w http.ResponseWriter, v any) {
	if p.faults.Load().LoseReplies {
		panic(http.ErrAbortHandler)
	}
	writeReply(w, http.StatusOK, v)
}

func (p *Platform) handleGetRows(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q keysRequest
	if !readBody(w, r, &q) || !p.allowRead(w) {
		return
	}
	rows := p.state.table.get(time.Now(), q.Keys, p.faults.Load().StaleReads)
	writeReply(w, http.StatusOK, rowsReply{Rows: rows})
}

// handleGetRow serves one row, or status 304 if the request has the row's entity
// tag.
func (p *Platform) handleGetRow(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	if !p.allowRead(w) {
		return
	}
	key := strings.TrimPrefix(ps.ByName("key"), "/")
	rows := p.state.table.get(time.Now(), []string{key}, p.faults.Load().StaleReads)
	writeWithETag(w, r, rows[0])
}

func (p *Platform) handleScan(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q scanRequest
	if !readBody(w, r, &q) || !p.allowRead(w) {
		return
	}
	if q.Limit <= 0 {
		q.Limit = defaultScanLimit
	}
	rows, more := p.state.table.scan(time.Now(), q, p.faults.Load().StaleReads)
	writeReply(w, http.StatusOK, scanReply{Rows: rows, More: more})
}

func (p *Platform) handleTransaction(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q transactionRequest
	if !readBody(w, r, &q) || !p.allowWrite(w) {
		return
	}
	rows, applied := p.state.table.applyWrites(time.Now(), q.Writes)
	p.replyToWrite(w, transactionReply{Rows: rows, Applied: applied})
}

func (p *Platform) allowRead(w http.ResponseWriter) bool {
	if !p.state.reads.Allow() {
		p.refuse(w, "overloaded")
		return false
	}
	p.state.readCalls.Add(1)
	return true
}

func (p *Platform) allowWrite(w http.ResponseWriter) bool {
	if !p.state.writes.Allow() {
		p.refuse(w, "overloaded")
		return false
	}
	return true
}

func (p *Platform) handleGetObject(w http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	if !p.allowRead(w) {
		return
	}
	body, ok := p.state.table.object(objectKey(ps))
	if !ok {
		writeReply(w, http.StatusNotFound, errorReply{Reason: "no such object"})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func (p *Platform) handlePutObject(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeReply(w, http.StatusBadRequest, errorReply{Reason: err.Error()})
		return
	}
	if !p.allowWrite(w) {
		return
	}
	p.state.table.setObject(objectKey(ps), body)
	p.replyToWrite(w, json.RawMessage("{}"))
}

func objectKey(ps httprouter.Params) string {
	return strings.TrimPrefix(ps.ByName("key"), "/")
}
