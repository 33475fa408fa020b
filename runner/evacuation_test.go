package runner

import (
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// TestEvacuationList tests the list after several reads.
func TestEvacuationList(t *testing.T) {
	tests := []struct {
		name  string
		reads []EvacuationChange
		want  []string
	}{
		{"a request", []EvacuationChange{{Full: true}, {Put: []string{"a"}}}, []string{"a"}},
		{"taken back", []EvacuationChange{{Full: true, Put: []string{"a", "b"}}, {Removed: []string{"a"}}}, []string{"b"}},
		{"two that overlap", []EvacuationChange{{Put: []string{"a"}}, {Put: []string{"b"}}, {Removed: []string{"a"}}}, []string{"b"}},
		{"taken back while the history was lost", []EvacuationChange{{Full: true, Put: []string{"a"}}, {Full: true}}, nil},
		{"nothing read", []EvacuationChange{{Full: true, Put: []string{"a"}}, {}}, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			list := evacuationList{}
			for _, c := range tt.reads {
				list.apply(c)
			}
			is.Equal(slices.Sorted(maps.Keys(list)), tt.want)
		})
	}
}
