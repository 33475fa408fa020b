package event

// Record is one occurrence of an event. The decision code creates it, and the
// running program writes it to the log.
type Record struct {
	// Kind is the kind of the event.
	Kind Kind
	// Subject is what the event is about: an endpoint, an instance, a
	// submission or a version, for example.
	Subject string
	// Detail describes this occurrence. It may be empty.
	Detail string
}
