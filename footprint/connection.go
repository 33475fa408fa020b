package footprint

const (
	// DefaultDescriptors is the number of descriptors that an instance may open if it is
	// not known.
	DefaultDescriptors = 4096
	// headerShare is the share of an instance's memory that headers may take beyond
	// connectionHeaderBytes each, and connectionShare that of connections.
	headerShare     = 0.1
	connectionShare = 0.3
	// collectorShare is the share of an instance's memory at which the collector does
	// its utmost. The rest is for stacks of threads and for what the collector lags.
	collectorShare = 0.7
	// connectionBytes is what a connection takes, with its buffers, the stack of its
	// goroutine and a usual header.
	connectionBytes = 40 << 10
	// connectionHeaderBytes is what the header of a request takes at most without a
	// reservation: several times that of a usual one.
	connectionHeaderBytes = 20 << 10
	// callerShare is the share of an instance's descriptors for connections of callers,
	// and monitorShare that for each of the other listeners.
	callerShare  = 0.75
	monitorShare = 1.0 / 32
	// maxMonitors is the maximum number of connections of a listener that is not for
	// callers.
	maxMonitors = 64

	// headerLineBytes is what decoding a line of a header takes at most besides its
	// bytes: its place in a map that grows, and the list of its values.
	headerLineBytes = 128
	// headerFactor is what decoding a byte of a header takes at most: lines that are
	// continued are copied several times.
	headerFactor = 8
)

// NewHeaderBudget returns the budget for the headers that connections send beyond the
// usual.
func NewHeaderBudget(l Limits) *Budget {
	return &Budget{limit: int64(headerShare * float64(l.WithDefaults().InstanceBytes))}
}

// Header returns the memory in bytes that a header of a number of lines and bytes takes at
// most beyond that of a usual one, while it is read and its request is served.
func Header(lines, bytes int) int64 {
	return max(headerLineBytes*int64(lines)+headerFactor*int64(bytes)-connectionHeaderBytes, 0)
}

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

// CollectorBytes returns the memory in bytes that the runtime is told to stay within.
func (l Limits) CollectorBytes() int64 {
	return int64(collectorShare * float64(l.WithDefaults().InstanceBytes))
}
