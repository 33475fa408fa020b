package serve

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovagecrank/lovagecrank/certificate"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/settings"
)

// certificateCheckInterval is the time between checks of the certificate files
// for changes.
const certificateCheckInterval = 5 * time.Second

// loadCertificates reads the certificate files of each listener that has any.
func loadCertificates(t settings.TLS, record func(event.Record)) (tlsConfigs, error) {
	var (
		c   tlsConfigs
		now = time.Now()
	)
	load := func(listener string, f settings.Files) (*certificate.Source, error) {
		s, err := certificate.Load(certificate.Files(f), now, record)
		if err != nil {
			return nil, fmt.Errorf("tls.%s: %w", listener, err)
		}
		c.sources = append(c.sources, s)
		return s, nil
	}
	if !t.Caller.IsZero() {
		s, err := load("caller", t.Caller)
		if err != nil {
			return tlsConfigs{}, err
		}
		c.caller = s.ServerConfig()
	}
	if !t.Operator.IsZero() {
		s, err := load("operator", t.Operator)
		if err != nil {
			return tlsConfigs{}, err
		}
		c.operator = s.ServerConfig()
	}
	if !t.Peer.IsZero() {
		s, err := load("peer", t.Peer)
		if err != nil {
			return tlsConfigs{}, err
		}
		c.peerServer, c.peerClient = s.ServerConfig(), s.ClientConfig()
	}
	return c, nil
}

// watchFiles reloads the certificate files when they change, until ctx ends.
func (c tlsConfigs) watchFiles(ctx context.Context, wg *conc.WaitGroup) {
	for _, s := range c.sources {
		wg.Go(func() { s.Watch(ctx, certificateCheckInterval) })
	}
}
