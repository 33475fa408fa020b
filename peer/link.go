package peer

import (
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/message"
)

// SetPeers sets the instances to keep a stream with. An open stream with an
// instance that is no longer in the list stays open, but it is not reopened
// after its end.
func (p *Pool) SetPeers(peers []instance.Info) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.peers {
		l.listed = false
	}
	for _, i := range peers {
		k := keyOf(i.Ref)
		if k == keyOf(p.cfg.Self.Ref) || !i.Address.IsValid() {
			continue
		}
		l := p.linkFor(k)
		l.address = i.Address
		l.listed = true
		p.dial(l)
	}
	for _, l := range p.peers {
		p.removeIfUnused(l)
	}
}

// Send queues a message for the peer in its To field, and never blocks. A
// message that cannot be queued is passed to [Handler.Unsent] before Send
// returns.
func (p *Pool) Send(m message.Message) {
	if !p.enqueue(m) {
		p.cfg.Handler.Unsent([]message.Message{m})
	}
}

// enqueue adds a message to the outbox of the peer's stream, or to that of
// connectLoop's first attempt. It returns false if there is neither or if the
// outbox is full.
func (p *Pool) enqueue(m message.Message) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.peers[keyOf(m.To)]
	switch {
	case !ok:
		return false
	case l.current != nil:
		return l.current.out.put(m)
	case l.pending != nil:
		return l.pending.put(m)
	}
	return false
}

// linkFor returns the link with the key and creates it if necessary.
func (p *Pool) linkFor(k key) *link {
	l, ok := p.peers[k]
	if !ok {
		l = &link{key: k}
		p.peers[k] = l
	}
	return l
}

// removeIfUnused removes a link that is not listed and has neither a stream nor
// a goroutine that connects to the peer.
func (p *Pool) removeIfUnused(l *link) {
	if !l.listed && !l.dialling && l.current == nil {
		delete(p.peers, l.key)
	}
}

// attach makes a stream the current one of its link. It returns false if the
// link's current stream has priority. Otherwise attach ends the earlier stream
// and waits until [Handler.Disconnected] has returned for it: called after
// [Handler.Connected] for the new stream, it would be taken for the end of the
// new one.
func (p *Pool) attach(s *stream) bool {
	p.mu.Lock()
	k := keyOf(s.remote.Ref)
	l := p.linkFor(k)
	if p.keepsCurrent(l, s) {
		p.mu.Unlock()
		return false
	}
	earlier := l.current
	l.current = s
	if s.remote.Address.IsValid() && !l.listed {
		l.address = s.remote.Address
	}
	var unsent []message.Message
	if l.pending != nil {
		unsent = move(l.pending, s.out)
		l.pending = nil
	}
	p.mu.Unlock()

	if earlier != nil {
		earlier.end(errReplaced)
		<-earlier.done
	}
	p.notifyUnsent(unsent)
	return true
}

// keepsCurrent reports whether the link's current stream has priority over a
// new one. That is the case if it has not ended, the two streams were opened by
// different sides, with the same incarnation of the peer, and the current one was
// opened by the instance whose key sorts first.
func (p *Pool) keepsCurrent(l *link, s *stream) bool {
	c := l.current
	if c == nil || c.ctx.Err() != nil || c.remote.Incarnation != s.remote.Incarnation || c.dialled == s.dialled {
		return false
	}
	first := keyOf(p.cfg.Self.Ref).before(l.key)
	return c.dialled == first
}

// detach removes a stream from its link, reconnects to the peer if it is still
// listed, and reports the messages that the stream has not sent.
func (p *Pool) detach(s *stream) {
	p.mu.Lock()
	l, ok := p.peers[keyOf(s.remote.Ref)]
	if ok && l.current == s {
		l.current = nil
		p.dial(l)
		p.removeIfUnused(l)
	}
	p.mu.Unlock()
	p.notifyUnsent(s.out.close())
}

// notifyUnsent passes messages that were not sent to the handler, if there are
// any.
func (p *Pool) notifyUnsent(unsent []message.Message) {
	if len(unsent) > 0 {
		p.cfg.Handler.Unsent(unsent)
	}
}

// move closes an outbox, moves its messages to another one, and returns those
// that do not fit.
func move(from, to *outbox) []message.Message {
	var rest []message.Message
	for _, m := range from.close() {
		if !to.put(m) {
			rest = append(rest, m)
		}
	}
	return rest
}
