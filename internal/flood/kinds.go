package flood

import (
	"fmt"
	"slices"
	"strings"
)

// Kind is a kind of misbehaving connections.
type Kind struct {
	Name string
	// Request returns the parts of what the connection with the given number sends, to
	// a server that serves Target. Large parts are shared by all connections.
	Request func(t Target, number int) []string
	// Unread means that the client reads nothing.
	Unread bool
}

// Target is a resource that a server serves.
type Target struct {
	Host string
	// Read is the path of a resource that GET returns, and Submit the path to which a
	// POST submits a job, with %016x for its number.
	Read, Submit string
	// Job is the body of a job.
	Job string
}

const (
	// headerBytes is the size of a header that no limit of the documentation forbids,
	// and largeHeaderBytes one far over the limit.
	headerBytes      = 15 << 10
	largeHeaderBytes = 80 << 10
	// lineBytes is the size of a line of DistinctLines.
	lineBytes = 5
	// readAheadBytes is less than what an HTTP server reads at a time.
	readAheadBytes = 3500
	// largeBodyBytes is a size far over the limit of bodies, and legalBodyBytes one
	// below it.
	largeBodyBytes = 16 << 20
	legalBodyBytes = 200 << 10

	chunked = "Transfer-Encoding: chunked\r\n\r\n"
)

// Connections returns the kinds that hold connections and hardly any memory.
func Connections() []Kind {
	return []Kind{
		{Name: "no request", Request: func(Target, int) []string { return nil }},
		{Name: "kept after a request", Request: func(t Target, _ int) []string { return []string{get(t), "\r\n"} }},
	}
}

// Headers returns the kinds with headers of many or odd lines.
func Headers() []Kind {
	unfinished := func(name, lines string) Kind {
		return Kind{Name: name, Request: func(t Target, _ int) []string { return []string{get(t), lines} }}
	}
	target := strings.Repeat("a", headerBytes)
	return []Kind{
		unfinished("short lines", DistinctLines(headerBytes/lineBytes)),
		unfinished("far over the limit", DistinctLines(largeHeaderBytes/lineBytes)),
		unfinished("lines of one name", strings.Repeat("a:b\n", headerBytes/4)),
		unfinished("continued lines", "a:b\n"+strings.Repeat(" c\n", headerBytes/3)),
		unfinished("one line", "a: "+target),
		{Name: "request line", Request: func(Target, int) []string { return []string{"GET /", target} }},
		ShortLines(),
	}
}

// ShortLines returns the kind of whole submissions with headers of many short lines,
// which are inside the limits.
func ShortLines() Kind {
	lines := DistinctLines(headerBytes / lineBytes)
	return Kind{Name: "whole requests", Request: func(t Target, i int) []string {
		return []string{post(t, i), lines, sized(t.Job)}
	}}
}

// ReadAhead returns the kinds with an unfinished header that arrives together with the
// request before it.
func ReadAhead() []Kind {
	lines := DistinctLines(readAheadBytes / lineBytes)
	return []Kind{
		{Name: "after a request", Request: func(t Target, _ int) []string {
			return []string{get(t) + "\r\n" + get(t) + lines}
		}},
		{Name: "after a job", Request: func(t Target, i int) []string {
			return []string{post(t, i) + sized(t.Job) + get(t) + lines}
		}},
	}
}

// Trailers returns the kind of submissions with trailers of many short lines.
func Trailers() []Kind {
	trailer := strings.ReplaceAll(DistinctLines(readAheadBytes/6), "\n", "\r\n")
	return []Kind{{Name: "trailer", Request: func(t Target, i int) []string {
		return []string{post(t, i), chunked, chunk(t.Job), "0\r\n", trailer, "\r\n"}
	}}}
}

// Bodies returns the kinds with bodies over the limit, and unfinished ones within it.
func Bodies() []Kind {
	var (
		within = strings.Repeat(" ", legalBodyBytes-1)
		over   = strings.Repeat(" ", largeBodyBytes)
		chunks = strings.Repeat(chunk(strings.Repeat(" ", 1000)), largeBodyBytes/1000)
	)
	submission := func(name string, parts ...string) Kind {
		return Kind{Name: name, Request: func(t Target, i int) []string { return append([]string{post(t, i)}, parts...) }}
	}
	return []Kind{
		submission("announced over the limit", announced(largeBodyBytes), "{"),
		submission("sent over the limit", announced(largeBodyBytes), over),
		submission("chunks over the limit", chunked, chunks),
		submission("announced within the limit", announced(legalBodyBytes), "{"),
		submission("unfinished within the limit", announced(legalBodyBytes), within),
	}
}

// UnreadReplies returns the kind of clients that send requests and read no reply.
func UnreadReplies() []Kind {
	return []Kind{{Name: "replies not read", Unread: true, Request: func(t Target, _ int) []string {
		return slices.Repeat([]string{strings.Repeat(get(t)+"\r\n", 100)}, 300)
	}}}
}

func get(t Target) string { return "GET " + t.Read + " HTTP/1.1\r\nHost: " + t.Host + "\r\n" }

func post(t Target, number int) string {
	return "POST " + fmt.Sprintf(t.Submit, number) + " HTTP/1.1\r\nHost: " + t.Host + "\r\nContent-Type: application/json\r\n"
}

// announced returns the end of a header that announces a body of n bytes.
func announced(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

// sized returns the end of a header and the body.
func sized(body string) string { return announced(len(body)) + body }

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// DistinctLines returns n header lines of lineBytes each with names that all differ.
func DistinctLines(n int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := range n {
		b.WriteByte(digits[i/len(digits)/len(digits)%len(digits)])
		b.WriteByte(digits[i/len(digits)%len(digits)])
		b.WriteByte(digits[i%len(digits)])
		b.WriteString(":\n")
	}
	return b.String()
}
