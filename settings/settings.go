package settings

import (
	"net/netip"
	"time"

	"github.com/lovagecrank/lovagecrank/footprint"
)

type (
	// Settings holds the checked settings of one instance.
	Settings struct {
		Instance  Instance
		Listeners Listeners
		Platform  Platform
		TLS       TLS
		Limits    Limits
		Timeouts  Timeouts
		Retention Retention
		Trace     Trace
	}

	// Instance holds the name and the location of the instance.
	Instance struct {
		ID         string
		DataCentre string
		Rack       string
	}

	// Listeners holds the addresses on which the instance listens.
	Listeners struct {
		Caller   netip.AddrPort
		Operator netip.AddrPort
		Peer     netip.AddrPort
		// AdvertisedPeer is the address at which other instances reach Peer.
		AdvertisedPeer netip.AddrPort
		// OperatorOpen allows an operator listener that anyone who reaches it
		// can use.
		OperatorOpen bool
	}

	// Platform holds the location of the platform's services.
	Platform struct {
		// Addresses are tried in turn.
		Addresses []netip.AddrPort
	}

	// TLS holds the files for each listener. No files means plain TCP.
	TLS struct {
		Caller   Files
		Operator Files
		// Peer is for mutual TLS: both sides present a certificate that the
		// authority has signed.
		Peer Files
	}

	// Files holds the paths of PEM files.
	Files struct {
		Certificate string
		Key         string
		// Authority signs the certificates that clients must present. It may
		// be empty for callers and operators.
		Authority string
	}

	// Limits bounds the resources that one caller or the whole instance uses.
	Limits struct {
		BodyBytes    int64
		TasksPerJob  int
		PayloadBytes int64
		HeaderBytes  int
		// IdleTime is how long a caller's connection may stay without a
		// request before it is closed.
		IdleTime time.Duration
		// ReadTime is how long a request may take to arrive.
		ReadTime time.Duration
		// WaitTime is how long one request waits for a result.
		WaitTime time.Duration
		// WaitingTasks is the number of tasks that may wait on the instance.
		WaitingTasks int
		// Memory is the memory in bytes that the instance may use, and Descriptors the
		// number of descriptors that it may open.
		Memory      int64
		Descriptors int
	}

	// Timeouts bounds how long the instance waits.
	Timeouts struct {
		// Connect is how long setting up a connection may take.
		Connect time.Duration
		// StoreCall is how long one call to the platform may take.
		StoreCall time.Duration
		// TaskLease is how long an endpoint may run one task.
		TaskLease time.Duration
		// PeerLost is how long a peer may be silent before it counts as lost.
		PeerLost time.Duration
		// Stop is how long a planned stop may take.
		Stop time.Duration
	}

	// Retention holds how long results are kept.
	Retention struct {
		// Results is how long they stay in the memory of the instance.
		Results time.Duration
		// DurableAnswers is how long durable answers stay in the platform's
		// table.
		DurableAnswers time.Duration
	}

	// Trace configures the export of spans.
	Trace struct {
		// Endpoint is the URL of an OTLP collector over HTTP; empty means no
		// tracing.
		Endpoint string
		// SampleShare is the fraction of jobs that are traced, from 0 to 1.
		SampleShare float64
		// SpansPerJob is the number of tasks of one job that may get spans.
		SpansPerJob int
	}
)

// IsZero reports whether no file is set.
func (f Files) IsZero() bool { return f == Files{} }

// Footprint returns the limits of what clients may take of the instance.
func (l Limits) Footprint() footprint.Limits {
	return footprint.Limits{InstanceBytes: l.Memory, Descriptors: l.Descriptors}
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Listeners: Listeners{
			Caller:   netip.MustParseAddrPort("127.0.0.1:7100"),
			Operator: netip.MustParseAddrPort("127.0.0.1:7200"),
			Peer:     netip.MustParseAddrPort("127.0.0.1:7300"),
		},
		Limits: Limits{
			BodyBytes:    8 << 20,
			TasksPerJob:  1000,
			PayloadBytes: 256 << 10,
			HeaderBytes:  16 << 10,
			IdleTime:     2 * time.Minute,
			ReadTime:     10 * time.Second,
			WaitTime:     5 * time.Minute,
			WaitingTasks: 100_000,
			Memory:       1 << 30,
			Descriptors:  footprint.DefaultDescriptors,
		},
		Timeouts: Timeouts{
			Connect:   time.Second,
			StoreCall: 6 * time.Second,
			TaskLease: 30 * time.Second,
			PeerLost:  1500 * time.Millisecond,
			Stop:      30 * time.Second,
		},
		Retention: Retention{
			Results:        5 * time.Minute,
			DurableAnswers: 24 * time.Hour,
		},
		Trace: Trace{
			SampleShare: 0.01,
			SpansPerJob: 16,
		},
	}
}
