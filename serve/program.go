package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovagecrank/lovagecrank/caller"
	"github.com/lovagecrank/lovagecrank/certificate"
	"github.com/lovagecrank/lovagecrank/configuration"
	"github.com/lovagecrank/lovagecrank/endpoint"
	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/internal/httpapi"
	"github.com/lovagecrank/lovagecrank/job"
	"github.com/lovagecrank/lovagecrank/metric"
	"github.com/lovagecrank/lovagecrank/peer"
	"github.com/lovagecrank/lovagecrank/settings"
	"github.com/lovagecrank/lovagecrank/store"
	"github.com/lovagecrank/lovagecrank/trace"
	"github.com/lovagecrank/lovagecrank/worker"
)

type (
	// program is one running instance: its listeners, clients and driver.
	program struct {
		cfg       *settings.Settings
		options   Options
		listeners Listeners
		driver    *driver
		peers     *peer.Pool
		workers   *worker.Client
		store     *store.Client
		tracer    *trace.Tracer
		metrics   *metric.Set
		tls       tlsConfigs
		callers   *httpapi.Server
		operators *httpapi.Server
		// cancel ends the context of the driver and of all background work.
		cancel context.CancelFunc
	}
)

func newProgram(cfg *settings.Settings, o Options) (*program, error) {
	p := &program{cfg: cfg, options: o}
	if err := p.listen(); err != nil {
		return nil, err
	}
	if err := p.build(); err != nil {
		p.listeners.close()
		return nil, err
	}
	return p, nil
}

func (p *program) listen() error {
	l, open := p.cfg.Listeners, p.options.Listeners
	p.listeners = open
	var err error
	p.listeners.Caller, err = listen(open.Caller, l.Caller, "caller")
	if err == nil {
		p.listeners.Operator, err = listen(open.Operator, l.Operator, "operator")
	}
	if err == nil {
		p.listeners.Peer, err = listen(open.Peer, l.Peer, "peer")
	}
	if err != nil {
		p.listeners.close()
	}
	return err
}

func (l Listeners) close() {
	for _, listener := range []net.Listener{l.Caller, l.Operator, l.Peer} {
		if listener != nil {
			listener.Close()
		}
	}
}

// build creates the components. They are inactive until run is called.
func (p *program) build() error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	self := newInstanceInfo(p.cfg, time.Now())
	p.metrics = metric.New(p.snapshot)
	record := countEvents(newEventLogger(p.options.Logger), p.metrics)
	if err := p.buildClients(ctx, self, record); err != nil {
		return err
	}
	p.buildDriver(ctx, self, record)
	p.buildServers(p.tls, record)
	return nil
}

// buildClients loads the certificates and creates the tracer and the clients of
// endpoints and platform.
func (p *program) buildClients(ctx context.Context, self instance.Info, record func(event.Record)) error {
	cfg := p.cfg
	var err error
	p.tls, err = loadCertificates(cfg.TLS, record)
	if err != nil {
		return err
	}
	p.tracer, err = trace.New(ctx, trace.Config{
		Endpoint:    cfg.Trace.Endpoint,
		SampleShare: cfg.Trace.SampleShare,
		SpansPerJob: cfg.Trace.SpansPerJob,
		Self:        self.Ref,
	})
	if err != nil {
		return err
	}
	p.workers = worker.New(worker.Config{ConnectTimeout: cfg.Timeouts.Connect})
	p.store = store.New(store.Config{Addresses: cfg.Platform.Addresses, ConnectTimeout: cfg.Timeouts.Connect, CallTimeout: cfg.Timeouts.StoreCall})
	return nil
}

// buildDriver creates the machine, its driver and the pool of peer connections.
func (p *program) buildDriver(ctx context.Context, self instance.Info, record func(event.Record)) {
	now := time.Now()
	p.driver = &driver{
		ctx:            ctx,
		self:           self,
		endpoints:      endpointClient{client: p.workers, home: self.Ref, tracer: p.tracer, maxSpansPerJob: p.cfg.Trace.SpansPerJob, metrics: p.metrics},
		table:          p.store,
		record:         record,
		tracer:         p.tracer,
		metrics:        p.metrics,
		starts:         make(chan entry.Start),
		earlierTick:    make(chan struct{}, 1),
		machine:        entry.New(machineSettings(p.cfg, self), now),
		pendingCalls:   map[uint64]chan<- job.Result{},
		pendingChanges: map[string][]chan<- configuration.ChangeResult{},
		homeSpans:      map[peerRequest]trace.Span{},
	}
	p.driver.view.Store(p.driver.machine.View(now))
	p.peers = peer.New(peer.Config{
		Self:           self,
		Handler:        peerHandler{p.driver},
		ServerTLS:      p.tls.peerServer,
		ClientTLS:      p.tls.peerClient,
		ReadTimeout:    p.cfg.Timeouts.PeerLost,
		ConnectTimeout: p.cfg.Timeouts.Connect,
		Seed:           self.Incarnation,
	})
	p.driver.peers = p.peers
}

// run serves until ctx ends and then performs a planned stop.
func (p *program) run(ctx context.Context) error {
	var wg conc.WaitGroup
	d := p.driver
	wg.Go(d.runTicks)
	p.tls.watchFiles(d.ctx, &wg)
	wg.Go(func() { pollList(d.ctx, p.store.Instances, d.handleInstances) })
	wg.Go(func() { pollList(d.ctx, p.endpoints, d.handleEndpoints) })
	wg.Go(func() { d.announce(d.ctx, p.store) })
	wg.Go(func() { _ = p.peers.Run(d.ctx, p.listeners.Peer) })
	serveHTTP(&wg, p.callers, p.listeners.Caller)
	serveHTTP(&wg, p.operators, p.listeners.Operator)
	p.reportStarted()
	<-ctx.Done()
	lost := p.stop()
	p.cancel()
	wg.Wait()
	d.goroutines.Wait()
	p.close()
	if lost {
		return ErrJobsLost
	}
	d.record(event.Record{Kind: event.Stopped, Subject: d.self.ID})
	return nil
}

// endpoints returns the platform's list of endpoints in this data centre.
func (p *program) endpoints(ctx context.Context) ([]endpoint.Info, error) {
	return p.store.Endpoints(ctx, p.driver.self.DataCentre)
}

// stop drains the instance and shuts the HTTP servers down, so that the last
// replies reach their callers. It reports whether jobs were lost.
func (p *program) stop() (lost bool) {
	force, cancel := context.WithTimeout(p.options.Force, p.cfg.Timeouts.Stop)
	defer cancel()
	lost = p.driver.drain(force)
	ctx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	for _, s := range []*httpapi.Server{p.callers, p.operators} {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
	return lost
}

func (p *program) close() {
	p.workers.Close()
	p.store.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Spans that can't be exported are lost; nothing depends on them.
	_ = p.tracer.Close(ctx)
}

// reportStarted records the Started event and passes the listeners' addresses to
// Options.Started.
func (p *program) reportStarted() {
	a := Addresses{
		Caller:   addressOf(p.listeners.Caller),
		Operator: addressOf(p.listeners.Operator),
		Peer:     addressOf(p.listeners.Peer),
	}
	p.driver.record(event.Record{
		Kind:    event.Started,
		Subject: p.driver.self.ID,
		Detail:  "caller=" + a.Caller.String() + " operator=" + a.Operator.String() + " peer=" + a.Peer.String(),
	})
	if p.options.Started != nil {
		p.options.Started(a)
	}
}

func addressOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// serveHTTP serves s on l in a goroutine until s is shut down or fails.
func serveHTTP(wg *conc.WaitGroup, s *httpapi.Server, l net.Listener) {
	wg.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.Close()
		}
	})
}

func callerLimits(l settings.Limits) caller.Limits {
	return caller.Limits{
		BodyBytes:    l.BodyBytes,
		TasksPerJob:  l.TasksPerJob,
		PayloadBytes: l.PayloadBytes,
		HeaderBytes:  l.HeaderBytes,
		IdleTime:     l.IdleTime,
		ReadTime:     l.ReadTime,
		WaitTime:     l.WaitTime,
	}
}

// tlsConfigs are the TLS settings of the listeners and of connections to peers;
// nil for plain TCP.
type tlsConfigs struct {
	caller, operator, peerServer, peerClient *tls.Config
	// sources are the certificates that the settings use.
	sources []*certificate.Source
}
