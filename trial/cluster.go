package trial

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/sourcegraph/conc"

	"github.com/lovagecrank/lovagecrank/client"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/serve"
	"github.com/lovagecrank/lovagecrank/settings"
	"github.com/lovagecrank/lovagecrank/standin"
	"github.com/lovagecrank/lovagecrank/task"
)

const (
	// endpointCount is the number of endpoints. They are in two racks, one in
	// each data centre.
	endpointCount = 8
	// slotsPerEndpoint and connectionsPerEndpoint are the values that our users
	// run with.
	slotsPerEndpoint       = 8
	connectionsPerEndpoint = 64
	// readyTimeout limits each wait for a state of the cluster, such as an
	// instance that accepts jobs.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two attempts of retry.
	pollInterval = 50 * time.Millisecond
)

type (
	// location is the location of an instance or endpoint.
	location struct{ dataCentre, rack string }

	// cluster is the system that the trial runs.
	cluster struct {
		// instances and standins have separate contexts because the instances
		// need the stand-ins until they have stopped.
		instances, standins             conc.WaitGroup
		cancelInstances, cancelStandins context.CancelFunc
		// callers and operators are clients of the instances' listeners, both
		// in the order of the instances.
		callers, operators []client.Client
		endpoints          []*standin.Endpoint

		mu       sync.Mutex
		firstErr error
	}
)

var (
	firstLocation  = location{dataCentre: "sofia-1", rack: "rack-1"}
	secondLocation = location{dataCentre: "sofia-2", rack: "rack-2"}
	// instanceLocations has one location for each instance.
	instanceLocations = []location{firstLocation, firstLocation, secondLocation}
)

// startCluster starts the system and waits until all instances accept jobs. The
// caller must stop it.
func startCluster(ctx context.Context, logger log.Logger) (*cluster, error) {
	c := &cluster{}
	standins, cancelStandins := context.WithCancel(context.WithoutCancel(ctx))
	instances, cancelInstances := context.WithCancel(context.WithoutCancel(ctx))
	c.cancelStandins, c.cancelInstances = cancelStandins, cancelInstances
	platform, err := c.startStandins(standins)
	if err == nil {
		err = c.startInstances(instances, logger, platform)
	}
	if err == nil {
		err = c.waitReady(ctx)
	}
	if err != nil {
		return nil, errors.Join(err, c.stop())
	}
	return c, nil
}

// startStandins starts the platform and the endpoints and returns the
// platform's address.
func (c *cluster) startStandins(ctx context.Context) (netip.AddrPort, error) {
	p := standin.NewPlatform(standin.PlatformOptions{})
	for n := range endpointCount {
		if err := c.startEndpoint(ctx, p, n); err != nil {
			return netip.AddrPort{}, err
		}
	}
	return c.serve(ctx, p)
}

func (c *cluster) startInstances(ctx context.Context, logger log.Logger, platform netip.AddrPort) error {
	for n, loc := range instanceLocations {
		if err := c.startInstance(ctx, logger, n, loc, platform); err != nil {
			return err
		}
	}
	return nil
}

// serve serves h on a free loopback port until ctx ends, and returns the
// address.
func (c *cluster) serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("cannot listen on loopback: %w", err)
	}
	c.standins.Go(func() { c.recordError(standin.Serve(ctx, l, h)) })
	return addressOf(l), nil
}

func (c *cluster) startEndpoint(ctx context.Context, p *standin.Platform, n int) error {
	loc := firstLocation
	if n >= endpointCount/2 {
		loc = secondLocation
	}
	info := endpoint.Info{
		ID:          fmt.Sprintf("w-%d", n+1),
		DataCentre:  loc.dataCentre,
		Rack:        loc.rack,
		Slots:       slotsPerEndpoint,
		Connections: connectionsPerEndpoint,
		Size:        task.Needs{Cores: 16, MemoryBytes: 64 << 30},
	}
	e := standin.NewEndpoint(info)
	addr, err := c.serve(ctx, e)
	if err != nil {
		return err
	}
	c.endpoints = append(c.endpoints, e)
	info.Address = addr
	p.SetEndpoint(info)
	return nil
}

func (c *cluster) startInstance(ctx context.Context, logger log.Logger, n int, loc location, platform netip.AddrPort) error {
	open, err := openListeners()
	if err != nil {
		return err
	}
	callerAddress, operatorAddress, peerAddress := addressOf(open.Caller), addressOf(open.Operator), addressOf(open.Peer)
	cfg := settings.Default()
	cfg.Instance = settings.Instance{ID: fmt.Sprintf("entry-%d", n+1), DataCentre: loc.dataCentre, Rack: loc.rack}
	cfg.Listeners = settings.Listeners{Caller: callerAddress, Operator: operatorAddress, Peer: peerAddress, AdvertisedPeer: peerAddress}
	cfg.Platform.Addresses = []netip.AddrPort{platform}
	logger = log.With(logger, "instance", cfg.Instance.ID)
	c.instances.Go(func() { c.recordError(serve.Run(ctx, &cfg, serve.Options{Logger: logger, Listeners: open})) })
	c.callers = append(c.callers, client.Client{Base: "http://" + callerAddress.String()})
	c.operators = append(c.operators, client.Client{Base: "http://" + operatorAddress.String()})
	return nil
}

// openListeners opens the listeners of an instance on loopback. They stay open
// until the instance uses them, so that no other process can take a port.
func openListeners() (serve.Listeners, error) {
	var list []net.Listener
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			for _, open := range list {
				open.Close()
			}
			return serve.Listeners{}, fmt.Errorf("cannot listen on loopback: %w", err)
		}
		list = append(list, l)
	}
	return serve.Listeners{Caller: list[0], Operator: list[1], Peer: list[2]}, nil
}

func addressOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// waitReady waits until every instance reports on /readyz that it accepts jobs.
func (c *cluster) waitReady(ctx context.Context) error {
	for i := range c.operators {
		err := c.retry(ctx, func(ctx context.Context) error {
			return check(c.callers[i].Call(ctx, http.MethodGet, "/readyz", nil, nil))
		})
		if err != nil {
			return fmt.Errorf("instance %d is not ready: %w", i+1, err)
		}
	}
	return nil
}

// retry calls try until it returns nil or readyTimeout has passed. It fails at
// once if a component of the cluster has failed.
func (c *cluster) retry(ctx context.Context, try func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var last error
	for {
		if err := c.firstError(); err != nil {
			return err
		}
		if err := try(ctx); err == nil {
			return nil
		} else if ctx.Err() == nil {
			last = err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Join(last, ctx.Err())
		}
	}
}

// check returns err, or the error that the reply contains.
func check(reply client.Reply, err error) error {
	if err != nil {
		return err
	}
	return reply.Err()
}

// recordError stores the first error of a component of the cluster.
func (c *cluster) recordError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstErr == nil {
		c.firstErr = err
	}
}

func (c *cluster) firstError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstErr
}

// stop performs a planned stop of the instances, then ends the stand-ins. It
// returns the first error of a component.
func (c *cluster) stop() error {
	c.cancelInstances()
	c.instances.Wait()
	c.cancelStandins()
	c.standins.Wait()
	return c.firstError()
}
