package submission

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/lovagecrank/lovagecrank/fault"
	"github.com/lovagecrank/lovagecrank/instance"
)

const (
	// idPrefix starts every issued id. An id that a caller chooses must not
	// start with it.
	idPrefix    = "lc1~"
	idSeparator = "~"
	idFields    = 5
)

// ID is an id that the system issued. Its text names the home and the time of
// issue, so the id needs no row in the store.
type ID struct {
	Home instance.Ref
	// Issued is the home's clock time, in whole milliseconds.
	Issued time.Time
	// Number is unique within the home's incarnation.
	Number uint64
}

// String returns the text form of the id.
func (id ID) String() string {
	b := make([]byte, 0, len(idPrefix)+len(id.Home.DataCentre)+len(id.Home.ID)+48)
	b = append(b, idPrefix...)
	b = append(b, escapeName(id.Home.DataCentre)...)
	b = append(b, idSeparator...)
	b = append(b, escapeName(id.Home.ID)...)
	b = append(b, idSeparator...)
	b = strconv.AppendUint(b, id.Home.Incarnation, 36)
	b = append(b, idSeparator...)
	b = strconv.AppendInt(b, id.Issued.UnixMilli(), 36)
	b = append(b, idSeparator...)
	b = strconv.AppendUint(b, id.Number, 36)
	return string(b)
}

// escapeName escapes a name so that it contains no separator.
func escapeName(name string) string {
	return strings.ReplaceAll(url.QueryEscape(name), idSeparator, "%7E")
}

// IsIssued reports whether the text starts like an issued id. The text may
// still be malformed.
func IsIssued(text string) bool { return strings.HasPrefix(text, idPrefix) }

// ParseID parses an issued id. It accepts only the exact text that String
// returns; the error is BadRequest otherwise.
func ParseID(text string) (ID, *fault.Error) {
	if !IsIssued(text) || len(text) > MaxIDLength {
		return ID{}, malformedIDFault()
	}
	fields := strings.Split(text[len(idPrefix):], idSeparator)
	if len(fields) != idFields {
		return ID{}, malformedIDFault()
	}
	dataCentre, err1 := url.QueryUnescape(fields[0])
	name, err2 := url.QueryUnescape(fields[1])
	incarnation, err3 := strconv.ParseUint(fields[2], 36, 64)
	issued, err4 := strconv.ParseInt(fields[3], 36, 64)
	number, err5 := strconv.ParseUint(fields[4], 36, 64)
	for _, err := range []error{err1, err2, err3, err4, err5} {
		if err != nil {
			return ID{}, malformedIDFault()
		}
	}
	id := ID{
		Home:   instance.Ref{DataCentre: dataCentre, ID: name, Incarnation: incarnation},
		Issued: time.UnixMilli(issued),
		Number: number,
	}
	if id.String() != text {
		return ID{}, malformedIDFault()
	}
	return id, nil
}

func malformedIDFault() *fault.Error {
	return fault.New(fault.BadRequest, "submission_id begins with %q but was not issued; use another beginning or an id from POST /v1/submission_ids", idPrefix)
}

// checkID returns why a caller may not use the id, or nil.
func checkID(text string) *fault.Error {
	if len(text) > MaxIDLength {
		return fault.New(fault.BadRequest, "submission_id has %d bytes; at most %d are allowed", len(text), MaxIDLength)
	}
	if !IsIssued(text) {
		return nil
	}
	_, f := ParseID(text)
	return f
}
