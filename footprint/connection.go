package footprint

const (
	// DefaultDescriptors is the number of descriptors that an instance may open if it is
	// not known.
	DefaultDescriptors = 4096
	// connectionShare is the share of an instance's memory for connections.
	connectionShare = 0.3
	// connectionBytes is what a connection takes, with its buffers, the stack of its
	// goroutine and a usual header.
	connectionBytes = 40 << 10
	// callerShare is the share of an instance's descriptors for connections of callers,
	// and monitorShare that for each of the other listeners.
	callerShare  = 0.75
	monitorShare = 1.0 / 32
	// maxMonitors is the maximum number of connections of a listener that is not for
	// callers.
	maxMonitors = 64
)

// CallerConnections returns the maximum number of callers' connections. The descriptors
// that are left are for the store, other instances and endpoints.
func (l Limits) CallerConnections() int {
	l = l.WithDefaults()
	return int(min(callerShare*float64(l.Descriptors), connectionShare*float64(l.InstanceBytes)/connectionBytes))
}

// MonitorConnections returns the maximum number of connections of each listener that is
// not for callers.
func (l Limits) MonitorConnections() int {
	return min(int(monitorShare*float64(l.WithDefaults().Descriptors)), maxMonitors)
}
