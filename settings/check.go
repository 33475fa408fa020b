package settings

// checkCombinations checks settings that depend on each other. It sets the
// advertised peer address to that of the peer listener if it is absent.
func (r *reader) checkCombinations() {
	s := &r.settings
	if !s.Listeners.AdvertisedPeer.IsValid() {
		s.Listeners.AdvertisedPeer = s.Listeners.Peer
	}
	r.checkAdvertised()
	r.checkFiles("tls.caller", s.TLS.Caller)
	r.checkFiles("tls.operator", s.TLS.Operator)
	r.checkFiles("tls.peer", s.TLS.Peer)
	r.checkPeerAuthority()
	r.checkOperator()
	if s.Limits.PayloadBytes > s.Limits.BodyBytes {
		r.addFault(r.lines["limits.payload_bytes"], "limits.payload_bytes", "is above limits.body_bytes; lower it or raise limits.body_bytes")
	}
}

// checkAdvertised reports an advertised peer address that no other instance can
// reach.
func (r *reader) checkAdvertised() {
	a := r.settings.Listeners.AdvertisedPeer
	if a.Addr().IsUnspecified() || a.Port() == 0 {
		r.addFault(r.lines["listeners.advertised_peer"], "listeners.advertised_peer", "%s cannot be reached by other instances; set an IP address and a port that they can reach", a)
	}
}

// checkFiles reports a group of TLS files that lacks the certificate or the key.
func (r *reader) checkFiles(group string, f Files) {
	if f.IsZero() {
		return
	}
	if f.Certificate == "" {
		r.addFault(r.lines[group], group+".certificate", "is missing; set it together with the other files of %s", group)
	}
	if f.Key == "" {
		r.addFault(r.lines[group], group+".key", "is missing; set it together with the other files of %s", group)
	}
}

// checkPeerAuthority reports TLS files for peers that lack the authority.
func (r *reader) checkPeerAuthority() {
	f := r.settings.TLS.Peer
	if !f.IsZero() && f.Authority == "" {
		r.addFault(r.lines["tls.peer"], "tls.peer.authority", "is missing; instances show certificates to each other, so set the authority that signs them")
	}
}

// checkOperator reports an operator listener through which anyone could change
// the configuration.
func (r *reader) checkOperator() {
	l := r.settings.Listeners
	if l.OperatorOpen || l.Operator.Addr().IsLoopback() || r.settings.TLS.Operator.Authority != "" {
		return
	}
	r.addFault(r.lines["listeners.operator"], "listeners.operator", "%s lets anyone who reaches it change the configuration; bind it to loopback, set tls.operator.authority, or set listeners.operator_open: true", l.Operator)
}
