package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestMatch(t *testing.T) {
	table := NewTable(Document{Version: 7, Queues: []Queue{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
		{Name: "second", Host: "a.example", Prefix: "/x/"},
		{Name: "all", Host: "d.example"},
	}})
	tests := []struct{ name, host, path, queue, rest string }{
		{"prefix", "a.example", "/x/1", "short", "1"},
		{"longest prefix", "a.example", "/x/y/1", "long", "1"},
		{"host", "b.example", "/x/y/1", "other", "y/1"},
		{"host with port and capitals", "A.example:80", "/x/", "short", ""},
		{"no such prefix", "a.example", "/z/1", "", ""},
		{"the first of two with a prefix", "a.example", "/x/2", "short", "2"},
		{"shorter than the prefix", "a.example", "/x", "", ""},
		{"no prefix", "d.example", "/z", "all", "/z"},
		{"no such host", "c.example", "/x/1", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q, rest, ok := table.Match(tt.host, tt.path)
			is.Equal(ok, tt.queue != "")
			if ok {
				is.Equal(q.Name, tt.queue)
				is.Equal(rest, tt.rest)
			}
		})
	}
}

func TestGoal(t *testing.T) {
	is := is.New(t)
	q := Queue{SlackFactor: 1.6, Target: 60 * time.Millisecond}
	is.Equal(q.Goal(100*time.Millisecond), 220*time.Millisecond)
}
