package caller

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
	"github.com/lovagecrank/lovagecrank/internal/jsonappend"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/trace"
)

const (
	maxIDsPerRequest    = 10_000
	maxIDRequestBytes   = 1024
	maxTraceParentBytes = 128
	preferRespondAsync  = "respond-async"
)

type wireIDRequest struct {
	Count *int `json:"count"`
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	j, err := h.readJob(w, r)
	if err != nil {
		return err
	}
	if err := h.assignID(r.Context(), &j); err != nil {
		return err
	}
	span := h.Tracer.Start(trace.Caller, traceParent(r), h.Now())
	defer func() { span.End(h.Now()) }()
	span.SetAttribute("submission_id", j.SubmissionID)
	span.SetAttribute("class", j.Class)
	j.TraceParent = span.TraceParent()

	w.Header().Set("Location", routeJobs+"/"+j.SubmissionID)
	if prefersAsync(r) {
		return h.reply(w, http.StatusAccepted, j.SubmissionID, resultOf(h.Service.SubmitAsync(r.Context(), j)))
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.Limits.WaitTime)
	defer cancel()
	return h.reply(w, http.StatusAccepted, j.SubmissionID, resultOf(h.Service.Submit(ctx, j)))
}

// assignID issues an id for a job without one, so that the caller can query the
// job whatever the outcome of this request.
func (h *handler) assignID(ctx context.Context, j *job.Job) error {
	if j.SubmissionID != "" {
		return nil
	}
	ids, err := h.Service.IssueIDs(ctx, 1)
	if err != nil {
		return err
	}
	if len(ids) != 1 {
		return fault.New(fault.Internal, "%d ids were issued in place of 1", len(ids))
	}
	j.SubmissionID = ids[0]
	return nil
}

func (h *handler) readJob(w http.ResponseWriter, r *http.Request) (job.Job, error) {
	if r.ContentLength > h.Limits.BodyBytes {
		w.Header().Set("Connection", "close")
		return job.Job{}, httpapi.BodyTooLarge(h.Limits.BodyBytes)
	}
	controller := http.NewResponseController(w)
	now := h.Now()
	// If the connection does not support deadlines, only the server's limits apply.
	_ = controller.SetReadDeadline(now.Add(h.Limits.ReadTime))
	j, err := decodeJob(http.MaxBytesReader(w, r.Body, h.Limits.BodyBytes), h.Limits, now)
	if err != nil {
		// The read deadline must remain set: before the server closes the
		// connection, it reads the rest of the body, which may never arrive.
		w.Header().Set("Connection", "close")
		return job.Job{}, err
	}
	// The read deadline would also end the wait for the result.
	_ = controller.SetReadDeadline(time.Time{})
	return j, nil
}

// prefersAsync reports whether the Prefer header (RFC 7240) asks for an
// asynchronous response.
func prefersAsync(r *http.Request) bool {
	for _, line := range r.Header["Prefer"] {
		for preference := range strings.SplitSeq(line, ",") {
			name, _, _ := strings.Cut(preference, ";")
			if strings.EqualFold(strings.TrimSpace(name), preferRespondAsync) {
				return true
			}
		}
	}
	return false
}

// traceParent returns the Traceparent header, or "" if it is too long.
func traceParent(r *http.Request) string {
	value := r.Header.Get("Traceparent")
	if len(value) > maxTraceParentBytes {
		return ""
	}
	return value
}

func (h *handler) issueIDs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) error {
	var request wireIDRequest
	if err := httpapi.ReadBody(w, r, maxIDRequestBytes, &request); err != nil {
		return err
	}
	if request.Count == nil || *request.Count < 1 || *request.Count > maxIDsPerRequest {
		return fault.New(fault.BadRequest, "count: is not a whole number from 1 to %d", maxIDsPerRequest)
	}
	ids, err := h.Service.IssueIDs(r.Context(), *request.Count)
	if err != nil {
		return err
	}
	body := append([]byte(nil), `{"submission_ids":[`...)
	for i, id := range ids {
		if i > 0 {
			body = append(body, ',')
		}
		body = jsonappend.String(body, id)
	}
	httpapi.WriteBody(w, http.StatusOK, append(body, "]}"...))
	return nil
}
