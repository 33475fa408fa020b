package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/lovagecrank/lovagecrank/fault"
)

const (
	// ParamSubmission is the name of the submission id in paths and errors.
	ParamSubmission = "submission_id"
	// MaxIDBytes is the maximum length of ids and names.
	MaxIDBytes = 128
)

// ErrTrailingData is the error of a body with data after its JSON value.
var ErrTrailingData = fault.New(fault.BadRequest, "the body goes on after the JSON value; send one value")

// ReadBody decodes a JSON body of at most limit bytes into v. It rejects unknown
// fields and data after the value.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return BodyFault(err, limit)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return ErrTrailingData
	}
	return nil
}

// BodyTooLarge returns the error of a body that exceeds the limit in bytes.
func BodyTooLarge(limit int64) *fault.Error {
	return fault.New(fault.TooLarge, "the body exceeds %d bytes; split it", limit)
}

// BodyFault converts an error from reading or decoding a body. The limit in
// bytes is for the error of a body that is too large.
func BodyFault(err error, limit int64) *fault.Error {
	var (
		f        *fault.Error
		tooLarge *http.MaxBytesError
	)
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &tooLarge):
		return BodyTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.BadRequest, "the body did not arrive in time; send it without pauses")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return fault.New(fault.BadRequest, "the body ends early; send the whole JSON value")
	}
	return fault.New(fault.BadRequest, "the body is not valid JSON: %s", Truncate(err.Error()))
}

// FieldFault adds the field name to a type error or an unknown field error of
// encoding/json. It returns any other error unchanged.
func FieldFault(name string, err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		if kind.Field != "" {
			name += "." + kind.Field
		}
		return fault.New(fault.BadRequest, "%s: got a JSON %s that does not fit; see docs/openapi.yaml", name, kind.Value)
	}
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return fault.New(fault.BadRequest, "%s: %s is not a field of it; remove it or correct its name", name, Truncate(field))
	}
	return err
}

// CheckID returns an error unless the id has 1 to [MaxIDBytes] characters that
// are safe in a URL path, a storage key and a log line. The name of the field
// appears in the error.
func CheckID(name, id string) *fault.Error {
	if id == "" {
		return fault.New(fault.BadRequest, "%s: is missing; set it", name)
	}
	if len(id) > MaxIDBytes {
		return fault.New(fault.BadRequest, "%s: has %d bytes and the limit is %d; shorten it", name, len(id), MaxIDBytes)
	}
	for i := range len(id) {
		if !isIDByte(id[i]) {
			return fault.New(fault.BadRequest, "%s: %q has a character that is not a letter, a digit or one of -._~:@+=", name, id)
		}
	}
	return nil
}

// isIDByte reports whether the byte is allowed in an id.
func isIDByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~:@+=", c) >= 0
}

// Truncate shortens a value to 80 bytes, so that it does not bloat an error
// message.
func Truncate(v string) string {
	const limit = 80
	if len(v) <= limit {
		return v
	}
	return strings.ToValidUTF8(v[:limit], "") + "..."
}
