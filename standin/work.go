package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// The kinds of work that an endpoint stand-in does.
const (
	courtFeeWork       = "court_fee"
	operatingPointWork = "operating_point"
)

// maxHold is the maximum run time that a payload can request.
const maxHold = 10 * time.Minute

type (
	// workRequest is the payload of a task for an endpoint stand-in.
	workRequest struct {
		// Work is the kind of work. It is empty for a task that only takes time.
		Work string `json:"work"`
		// HoldMS is the run time on an endpoint of normal speed, in
		// milliseconds.
		HoldMS float64 `json:"hold_ms"`
		// FeeRequest is the input of courtFeeWork, and Circuit that of
		// operatingPointWork.
		FeeRequest *FeeRequest `json:"fee_request"`
		Circuit    *Circuit    `json:"circuit"`
	}

	// workError is the answer of a task that failed.
	workError struct {
		Error string `json:"error"`
	}
)

// parseWork decodes a payload. An empty payload requests no work.
func parseWork(payload json.RawMessage) (workRequest, error) {
	var q workRequest
	if len(payload) == 0 {
		return q, nil
	}
	if err := json.Unmarshal(payload, &q); err != nil {
		return q, fmt.Errorf("payload is not a work order: %w", err)
	}
	if q.HoldMS < 0 || q.runTime() > maxHold {
		return q, fmt.Errorf("hold_ms is %g; give 0 to %d", q.HoldMS, maxHold.Milliseconds())
	}
	return q, nil
}

func (q workRequest) runTime() time.Duration {
	return time.Duration(q.HoldMS * float64(time.Millisecond))
}

// execute does the requested work and returns the answer.
func (q workRequest) execute() (any, error) {
	switch q.Work {
	case "":
		return struct{}{}, nil
	case courtFeeWork:
		if q.FeeRequest == nil {
			return nil, errors.New("payload has no fee_request")
		}
		return CourtFee(*q.FeeRequest)
	case operatingPointWork:
		if q.Circuit == nil {
			return nil, errors.New("payload has no circuit")
		}
		return OperatingPoint(*q.Circuit)
	default:
		return nil, fmt.Errorf("work %q is unknown; use %s or %s", q.Work, courtFeeWork, operatingPointWork)
	}
}

// Work does the work that a payload requests, without waiting for its run time.
// It returns the answer as JSON and whether the work failed.
func Work(payload json.RawMessage) (answer json.RawMessage, failed bool) {
	q, err := parseWork(payload)
	if err != nil {
		return encodeError(err), true
	}
	return q.answer()
}

// RunTime returns the run time that a payload requests on an endpoint of normal
// speed; zero if the payload is not valid.
func RunTime(payload json.RawMessage) time.Duration {
	q, err := parseWork(payload)
	if err != nil {
		return 0
	}
	return q.runTime()
}

func (q workRequest) answer() (answer json.RawMessage, failed bool) {
	v, err := q.execute()
	if err != nil {
		return encodeError(err), true
	}
	answer, err = json.Marshal(v)
	if err != nil {
		return encodeError(err), true
	}
	return answer, false
}

func encodeError(err error) json.RawMessage {
	answer, _ := json.Marshal(workError{Error: err.Error()})
	return answer
}
