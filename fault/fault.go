package fault

import (
	"errors"
	"fmt"
	"time"
)

// Error is one occurrence of a kind of error.
type Error struct {
	// Kind is the kind of the error.
	Kind Kind
	// Detail describes this occurrence. It may be empty.
	Detail string
	// RetryAfter is the delay after which a retry can succeed; zero means
	// that no retry helps.
	RetryAfter time.Duration
}

// New returns an error of kind k. The detail is formatted as by [fmt.Sprintf].
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e whose RetryAfter is d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the code, the title, the detail and the remedy on one line.
func (e *Error) Error() string {
	row := e.Kind.Row()
	if e.Detail == "" {
		return fmt.Sprintf("%s %s: %s", row.Code, row.Title, row.Remedy)
	}
	return fmt.Sprintf("%s %s: %s: %s", row.Code, row.Title, e.Detail, row.Remedy)
}

// Is reports whether target is an [*Error] of the same kind.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Kind == e.Kind
}

// KindOf returns the kind of the first [*Error] in err's chain, or Internal if
// there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
