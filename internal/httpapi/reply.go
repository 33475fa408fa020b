package httpapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/internal/jsonappend"
	"github.com/lovagecrank/lovagecrank/job"
)

// stateUnknown is the submission state in an error reply that does not rule
// out that the job runs or has run.
const stateUnknown = "unknown"

// WriteBody writes a complete JSON reply.
func WriteBody(w http.ResponseWriter, status int, body []byte) {
	header := w.Header()
	header["Content-Type"] = []string{"application/json"}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	// The router records a failed write.
	_, _ = w.Write(body)
}

// SetRetryAfter sets the Retry-After header to d in seconds, rounded up. It
// sets no header if d is zero or negative.
func SetRetryAfter(w http.ResponseWriter, d time.Duration) {
	if d <= 0 {
		return
	}
	w.Header().Set("Retry-After", strconv.FormatInt(retryAfterSeconds(d), 10))
}

// retryAfterSeconds returns d in seconds, rounded up.
func retryAfterSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }

// AppendFault appends the JSON object that describes the error: code, kind,
// reason, remedy and, if set, the retry delay in milliseconds.
func AppendFault(b []byte, f *fault.Error) []byte {
	row := f.Kind.Row()
	b = append(b, `{"code":`...)
	b = jsonappend.String(b, row.Code)
	b = append(b, `,"kind":`...)
	b = jsonappend.String(b, row.Name)
	b = append(b, `,"reason":`...)
	b = jsonappend.String(b, reason(f))
	b = append(b, `,"remedy":`...)
	b = jsonappend.String(b, row.Remedy)
	if f.RetryAfter > 0 {
		b = append(b, `,"retry_after_ms":`...)
		b = jsonappend.Int(b, int64((f.RetryAfter+time.Millisecond-1)/time.Millisecond))
	}
	return append(b, '}')
}

// reason returns the title of the error kind followed by the detail.
func reason(f *fault.Error) string {
	row := f.Kind.Row()
	if f.Detail == "" {
		return row.Title
	}
	return row.Title + ": " + f.Detail
}

// appendFailure appends the JSON body of an error reply. It leaves out an empty
// submission id.
func appendFailure(b []byte, id string, f *fault.Error) []byte {
	state := stateUnknown
	if f.Kind.Row().NotRun {
		state = job.NotRun.String()
	}
	b = append(b, '{')
	if id != "" {
		b = append(b, `"submission_id":`...)
		b = jsonappend.String(b, id)
		b = append(b, ',')
	}
	b = append(b, `"state":`...)
	b = jsonappend.String(b, state)
	b = append(b, `,"error":`...)
	b = AppendFault(b, f)
	return append(b, '}')
}
