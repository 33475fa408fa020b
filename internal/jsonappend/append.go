// Package jsonappend appends JSON values to byte slices. The encoders in the
// request path use it, so that payloads and answers are copied without being
// decoded.
package jsonappend

import (
	"encoding/json"
	"strconv"
	"time"
)

// String appends a quoted string.
func String(b []byte, s string) []byte {
	if isPlain(s) {
		b = append(b, '"')
		b = append(b, s...)
		return append(b, '"')
	}
	quoted, err := json.Marshal(s)
	if err != nil {
		return append(b, `""`...)
	}
	return append(b, quoted...)
}

// isPlain reports whether the string can be quoted without escapes.
func isPlain(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// Raw appends an encoded JSON value unchanged, or null if it is empty.
func Raw(b, value []byte) []byte {
	if len(value) == 0 {
		return append(b, "null"...)
	}
	return append(b, value...)
}

// Int appends a signed integer.
func Int(b []byte, n int64) []byte { return strconv.AppendInt(b, n, 10) }

// Uint appends an unsigned integer.
func Uint(b []byte, n uint64) []byte { return strconv.AppendUint(b, n, 10) }

// Float appends a number, which must be finite.
func Float(b []byte, f float64) []byte { return strconv.AppendFloat(b, f, 'g', -1, 64) }

// Bool appends true or false.
func Bool(b []byte, v bool) []byte { return strconv.AppendBool(b, v) }

// Milliseconds appends a duration in milliseconds, with fractions.
func Milliseconds(b []byte, d time.Duration) []byte {
	return Float(b, float64(d)/float64(time.Millisecond))
}
