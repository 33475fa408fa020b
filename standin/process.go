package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/sourcegraph/conc"
)

const (
	// headerTimeout limits the time to read the headers of a request.
	headerTimeout = 10 * time.Second
	// shutdownTimeout limits how long Serve waits for requests in flight, and
	// so for running tasks, after its context ends.
	shutdownTimeout = 30 * time.Second
	// announceInterval is the time between two announcements of an endpoint,
	// announceRetryInterval the time until the next one after a failure, and
	// announceLifetime the time after which an announcement expires.
	announceInterval      = 2 * time.Second
	announceRetryInterval = 100 * time.Millisecond
	announceLifetime      = 10 * time.Second
	// announceTimeout limits the time of one announcement.
	announceTimeout = time.Second
)

// Serve serves requests on l until ctx ends, and then waits up to
// shutdownTimeout for those in flight.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { serveErr <- server.Serve(l) })
	select {
	case err := <-serveErr:
		return fmt.Errorf("stand-in stopped serving: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return errors.Join(fmt.Errorf("closed connections with requests in flight: %w", err), server.Close())
	}
	return nil
}

// ServeEndpoint serves an endpoint on l and announces it to the platform until
// ctx ends. It then refuses new starts, announces the endpoint as draining and
// waits for the running tasks.
func ServeEndpoint(ctx context.Context, l net.Listener, info endpoint.Info, platform netip.AddrPort) error {
	info.Address = l.Addr().(*net.TCPAddr).AddrPort()
	e := NewEndpoint(info)
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	wg.Go(func() {
		defer stop()
		e.announceUntil(ctx, platform)
		e.SetFaults(EndpointFaults{Draining: true})
		announce(serveCtx, platform, e.info, true)
	})
	err := Serve(serveCtx, l, e)
	wg.Wait()
	return err
}

func (e *Endpoint) announceUntil(ctx context.Context, platform netip.AddrPort) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		interval := announceInterval
		if !announce(ctx, platform, e.info, false) {
			interval = announceRetryInterval
		}
		timer.Reset(interval)
	}
}

// announce puts the endpoint on the list of the platform, and reports whether
// the platform accepted it.
func announce(ctx context.Context, platform netip.AddrPort, info endpoint.Info, draining bool) bool {
	row := newEndpointRow(info)
	row.Draining = draining
	row.LifetimeMS = announceLifetime.Milliseconds()
	body, err := json.Marshal(row)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/endpoints/%s", platform, info.ID)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
