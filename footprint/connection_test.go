package footprint

import (
	"testing"

	"github.com/matryer/is"
)

// TestDescriptorsStayFree checks that connections leave descriptors and memory for the
// instance itself, and that small instances still serve many callers.
func TestDescriptorsStayFree(t *testing.T) {
	tests := []struct {
		name              string
		limits            Limits
		callers, monitors int
	}{
		{"nothing known", Limits{}, 1966, 64},
		{"the smallest instance", Limits{InstanceBytes: 144 << 20, Descriptors: 3075}, 1105, 64},
		{"much memory", Limits{InstanceBytes: 64 << 30, Descriptors: 10_250}, 7687, 64},
		{"few descriptors", Limits{InstanceBytes: 64 << 30, Descriptors: 512}, 384, 16},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.limits.CallerConnections(), tt.callers)
			is.Equal(tt.limits.MonitorConnections(), tt.monitors)
			l := tt.limits.WithDefaults()
			is.True(tt.callers+2*tt.monitors <= l.Descriptors*7/8)
		})
	}
}
