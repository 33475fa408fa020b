package peer

import (
	"sync"

	"github.com/lovagecrank/lovagecrank/message"
)

// outbox is a bounded queue of messages with one reader.
type outbox struct {
	limit int
	// notEmpty holds an element while there may be messages.
	notEmpty chan struct{}

	mu       sync.Mutex
	messages []message.Message
	closed   bool
}

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, notEmpty: make(chan struct{}, 1)}
}

// put adds a message. It returns false if the outbox is full or closed.
func (o *outbox) put(m message.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.messages) >= o.limit {
		return false
	}
	o.messages = append(o.messages, m)
	select {
	case o.notEmpty <- struct{}{}:
	default:
	}
	return true
}

// takeAll removes all messages and appends them to a list, which it returns.
func (o *outbox) takeAll(to []message.Message) []message.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	to = append(to, o.messages...)
	clear(o.messages)
	o.messages = o.messages[:0]
	return to
}

// close makes the outbox refuse further messages and returns those that were
// not taken.
func (o *outbox) close() []message.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	rest := o.messages
	o.messages = nil
	return rest
}
