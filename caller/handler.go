package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/trace"
)

type (
	// Limits limits the size and the duration of a request. All fields must be
	// greater than zero.
	Limits struct {
		BodyBytes    int64
		TasksPerJob  int
		PayloadBytes int64
		HeaderBytes  int
		// IdleTime is the time after which a connection without a request is
		// closed.
		IdleTime time.Duration
		// ReadTime is the time in which a request must arrive.
		ReadTime time.Duration
		// WaitTime is the maximum time that one request waits for a result.
		WaitTime time.Duration
	}

	// Config configures the handler.
	Config struct {
		Service Service
		Limits  Limits
		// Metrics serves /metrics; if it is nil, the path does not exist.
		Metrics http.Handler
		// Observe, if not nil, is called after each request with its route, the
		// HTTP status of the reply and the time that the request took.
		Observe func(route string, status int, took time.Duration)
		// Record, if not nil, is called with each event.
		Record func(event.Record)
		// Tracer may be nil.
		Tracer *trace.Tracer
		// Now returns the current time; nil means [time.Now].
		Now func() time.Time
	}

	handler struct {
		Config
	}
)

const (
	routeJobs = "/v1/jobs"
	routeJob  = "/v1/jobs/:" + httpapi.ParamSubmission
	routeIDs  = "/v1/submission_ids"
)

// NewHandler returns the handler of the callers' interface.
func NewHandler(cfg Config) http.Handler {
	h := &handler{cfg}
	if h.Now == nil {
		h.Now = time.Now
	}
	return httpapi.NewRouter(httpapi.Config{
		Routes:      h.routes(),
		HeaderBytes: h.Limits.HeaderBytes,
		Metrics:     h.Metrics,
		Observe:     h.Observe,
		Record:      h.Record,
		Now:         h.Now,
	})
}

func (h *handler) routes() []httpapi.Route {
	return []httpapi.Route{
		{Method: http.MethodPost, Path: routeJobs, Handle: h.submit},
		{Method: http.MethodGet, Path: routeJob, Handle: h.show},
		{Method: http.MethodDelete, Path: routeJob, Handle: h.cancel},
		{Method: http.MethodPost, Path: routeIDs, Handle: h.issueIDs},
		{Method: http.MethodGet, Path: "/healthz", Handle: h.health},
		{Method: http.MethodGet, Path: "/readyz", Handle: h.ready},
	}
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) error {
	httpapi.WriteBody(w, http.StatusOK, []byte(`{"healthy":true}`))
	return nil
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) error {
	if err := h.Service.Ready(); err != nil {
		return err
	}
	httpapi.WriteBody(w, http.StatusOK, []byte(`{"ready":true}`))
	return nil
}

func (h *handler) show(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	id := p.ByName(httpapi.ParamSubmission)
	if err := httpapi.CheckID(httpapi.ParamSubmission, id); err != nil {
		return err
	}
	wait, err := parseWait(r.URL.Query().Get("wait"), h.Limits.WaitTime)
	if err != nil {
		return err
	}
	if wait == 0 {
		return h.reply(w, http.StatusOK, id, resultOf(h.Service.Show(r.Context(), id, false)))
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	return h.reply(w, http.StatusOK, id, resultOf(h.Service.Show(ctx, id, true)))
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) error {
	id := p.ByName(httpapi.ParamSubmission)
	if err := httpapi.CheckID(httpapi.ParamSubmission, id); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.Limits.WaitTime)
	defer cancel()
	return h.reply(w, http.StatusOK, id, resultOf(h.Service.Cancel(ctx, id)))
}

// parseWait parses the query parameter wait, which is empty, a boolean or a
// duration. It returns the time to wait for a result, which is at most limit;
// zero means that the request does not wait.
func parseWait(value string, limit time.Duration) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	if flag, err := strconv.ParseBool(value); err == nil {
		if flag {
			return limit, nil
		}
		return 0, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		return 0, fault.New(fault.BadRequest, "wait: %q is neither true, false nor a duration such as 10s", httpapi.Truncate(value))
	}
	return min(d, limit), nil
}

// serviceResult holds the return values of a Service method.
type serviceResult struct {
	result job.Result
	err    error
}

func resultOf(r job.Result, err error) serviceResult { return serviceResult{r, err} }
