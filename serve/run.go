package serve

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/lovagecrank/lovagecrank/entry"
	"github.com/lovagecrank/lovagecrank/instance"
	"github.com/lovagecrank/lovagecrank/settings"
)

const (
	// incarnationRandomBits is the number of low bits of an incarnation that
	// are random; the rest is the start time in Unix milliseconds.
	incarnationRandomBits = 20
	// closeTimeout limits how long replies may take to reach their callers
	// after the last job has ended, and then the export of the last spans.
	closeTimeout = 2 * time.Second
)

type (
	// Options are the parameters of Run besides the settings. The zero value is
	// valid.
	Options struct {
		// Logger writes the events to the log; nil discards them.
		Logger log.Logger
		// Force aborts a planned stop when it ends; nil means never.
		Force context.Context
		// Started is called with the addresses once the instance serves them;
		// it may be nil.
		Started func(Addresses)
		// Listeners are already open. Those that are nil are opened at the
		// addresses of the settings. Run closes them.
		Listeners Listeners
	}

	// Listeners are the listeners of an instance.
	Listeners struct {
		Caller, Operator, Peer net.Listener
	}

	// Addresses are the addresses of an instance's listeners.
	Addresses struct {
		Caller, Operator, Peer netip.AddrPort
	}
)

// ErrJobsLost is returned by Run if a planned stop was forced or timed out
// before all jobs were finished.
var ErrJobsLost = errors.New("the stop was forced and accepted jobs were lost; their callers get outcome_unknown")

// Run serves until ctx ends, and then performs a planned stop (a graceful
// shutdown): it refuses new jobs as not run, finishes accepted ones and returns.
// The error is [ErrJobsLost] if the stop was forced or took longer than the
// settings allow.
func Run(ctx context.Context, cfg *settings.Settings, o Options) error {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	if o.Force == nil {
		o.Force = context.Background()
	}
	p, err := newProgram(cfg, o)
	if err != nil {
		return err
	}
	return p.run(ctx)
}

// incarnation returns a number that identifies this start of the instance; no
// other start has it.
func incarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

func newInstanceInfo(cfg *settings.Settings, now time.Time) instance.Info {
	return instance.Info{
		Ref: instance.Ref{
			DataCentre:  cfg.Instance.DataCentre,
			ID:          cfg.Instance.ID,
			Incarnation: incarnation(now),
		},
		Rack:    cfg.Instance.Rack,
		Address: cfg.Listeners.AdvertisedPeer,
	}
}

func machineSettings(cfg *settings.Settings, self instance.Info) entry.Settings {
	s := entry.Settings{Self: self, Seed: rand.Uint64(), TaskTimeout: cfg.Timeouts.TaskLease}
	s.Dispatch.MaxTasks = cfg.Limits.WaitingTasks
	s.Submission.Retention = cfg.Retention.Results
	s.Submission.ResultLifetime = cfg.Retention.DurableAnswers
	return s
}

// listen returns the open listener, or opens one at the address if open is nil.
func listen(open net.Listener, address netip.AddrPort, name string) (net.Listener, error) {
	if open != nil {
		return open, nil
	}
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("cannot listen for %s on %s; free the address or change listeners.%s: %w", name, address, name, err)
	}
	return l, nil
}
