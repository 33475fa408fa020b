package settings

import (
	"fmt"
	"net/netip"
	"time"

	"go.yaml.in/yaml/v3"
)

// setting is a key of the settings file.
type setting struct {
	// key is the path in the file, with its parts joined by dots.
	key string
	// syntax describes how a value is written.
	syntax string
	// meaning describes the setting in a full sentence or a noun phrase with a
	// full stop.
	meaning string
	// required means that the file must set the key: there is no default.
	required bool
	// set parses the value and stores it in s. Its error describes what is
	// wrong and how to correct it.
	set func(s *Settings, n *yaml.Node) error
	// format returns the value as it is written in the file.
	format func(s *Settings) string
}

// table holds all settings in the order of docs/SETTINGS.md.
var table = []setting{
	name("instance.id", "The name of the instance; unique in its data centre.", func(s *Settings) *string { return &s.Instance.ID }).asRequired(),
	name("instance.data_centre", "The name of the data centre that the instance runs in.", func(s *Settings) *string { return &s.Instance.DataCentre }).asRequired(),
	name("instance.rack", "The name of the rack that the instance runs in.", func(s *Settings) *string { return &s.Instance.Rack }),

	address("listeners.caller", "The address on which the instance serves callers.", func(s *Settings) *netip.AddrPort { return &s.Listeners.Caller }),
	address("listeners.operator", "The address on which the instance serves operators.", func(s *Settings) *netip.AddrPort { return &s.Listeners.Operator }),
	address("listeners.peer", "The address on which the instance serves other instances.", func(s *Settings) *netip.AddrPort { return &s.Listeners.Peer }),
	address("listeners.advertised_peer", "The address at which other instances reach the peer listener; `listeners.peer` if absent.", func(s *Settings) *netip.AddrPort { return &s.Listeners.AdvertisedPeer }),
	boolean("listeners.operator_open", "Allows an operator listener that is not on loopback and requires no client certificate.", func(s *Settings) *bool { return &s.Listeners.OperatorOpen }),

	addresses("platform.addresses", "The addresses of the platform's services, tried in turn.", func(s *Settings) *[]netip.AddrPort { return &s.Platform.Addresses }).asRequired(),

	file("tls.caller.certificate", "The certificate that the instance presents to callers.", func(s *Settings) *string { return &s.TLS.Caller.Certificate }),
	file("tls.caller.key", "The private key of that certificate.", func(s *Settings) *string { return &s.TLS.Caller.Key }),
	file("tls.caller.authority", "The authority that signs the certificates that callers must present.", func(s *Settings) *string { return &s.TLS.Caller.Authority }),
	file("tls.operator.certificate", "The certificate that the instance presents to operators.", func(s *Settings) *string { return &s.TLS.Operator.Certificate }),
	file("tls.operator.key", "The private key of that certificate.", func(s *Settings) *string { return &s.TLS.Operator.Key }),
	file("tls.operator.authority", "The authority that signs the certificates that operators must present.", func(s *Settings) *string { return &s.TLS.Operator.Authority }),
	file("tls.peer.certificate", "The certificate that the instance presents to other instances.", func(s *Settings) *string { return &s.TLS.Peer.Certificate }),
	file("tls.peer.key", "The private key of that certificate.", func(s *Settings) *string { return &s.TLS.Peer.Key }),
	file("tls.peer.authority", "The authority that signs the certificates that instances present to each other.", func(s *Settings) *string { return &s.TLS.Peer.Authority }),

	size("limits.body_bytes", "The maximum size of the body of a request.", func(s *Settings) *int64 { return &s.Limits.BodyBytes }),
	count("limits.tasks_per_job", "The maximum number of tasks in one job.", func(s *Settings) *int { return &s.Limits.TasksPerJob }),
	size("limits.payload_bytes", "The maximum size of the payload of one task.", func(s *Settings) *int64 { return &s.Limits.PayloadBytes }),
	count("limits.header_bytes", "The maximum size of the header of a request, in bytes.", func(s *Settings) *int { return &s.Limits.HeaderBytes }),
	duration("limits.idle_time", "How long a caller's connection may stay without a request.", func(s *Settings) *time.Duration { return &s.Limits.IdleTime }),
	duration("limits.read_time", "How long a request may take to arrive.", func(s *Settings) *time.Duration { return &s.Limits.ReadTime }),
	duration("limits.wait_time", "How long one request waits for a result; the caller can ask again afterwards.", func(s *Settings) *time.Duration { return &s.Limits.WaitTime }),
	size("limits.memory", "The memory that the instance may use. Connections, headers and bodies are refused beyond their shares of it.", func(s *Settings) *int64 { return &s.Limits.Memory }),
	count("limits.descriptors", "The number of files and connections that the instance may have open. Callers get three quarters of it.", func(s *Settings) *int { return &s.Limits.Descriptors }),
	count("limits.waiting_tasks", "The maximum number of tasks that wait on the instance.", func(s *Settings) *int { return &s.Limits.WaitingTasks }),

	duration("timeouts.connect", "How long setting up a connection may take.", func(s *Settings) *time.Duration { return &s.Timeouts.Connect }),
	duration("timeouts.store_call", "How long one call to the platform may take.", func(s *Settings) *time.Duration { return &s.Timeouts.StoreCall }),
	duration("timeouts.task_lease", "How long an endpoint may run one task.", func(s *Settings) *time.Duration { return &s.Timeouts.TaskLease }),
	duration("timeouts.peer_lost", "How long another instance may be silent before it counts as lost.", func(s *Settings) *time.Duration { return &s.Timeouts.PeerLost }),
	duration("timeouts.stop", "How long a planned stop may take.", func(s *Settings) *time.Duration { return &s.Timeouts.Stop }),

	duration("retention.results", "How long a final result stays in memory.", func(s *Settings) *time.Duration { return &s.Retention.Results }),
	duration("retention.durable_answers", "How long a durable answer stays in the platform's table.", func(s *Settings) *time.Duration { return &s.Retention.DurableAnswers }),

	url("trace.endpoint", "The URL of an OTLP collector over HTTP; no tracing if absent.", func(s *Settings) *string { return &s.Trace.Endpoint }),
	fraction("trace.sample_share", "The fraction of jobs that are traced.", func(s *Settings) *float64 { return &s.Trace.SampleShare }),
	count("trace.spans_per_job", "The maximum number of tasks of one job that get spans.", func(s *Settings) *int { return &s.Trace.SpansPerJob }),
}

// asRequired returns a copy of the setting that is required.
func (r setting) asRequired() setting {
	r.required = true
	return r
}

// newSetting returns a setting of type T. The function field returns a pointer to
// the field of Settings that holds the value.
func newSetting[T any](key, syntax, meaning string, field func(*Settings) *T, parse func(*yaml.Node) (T, error), format func(T) string) setting {
	return setting{
		key:     key,
		syntax:  syntax,
		meaning: meaning,
		set: func(s *Settings, n *yaml.Node) error {
			v, err := parse(n)
			if err != nil {
				return err
			}
			*field(s) = v
			return nil
		},
		format: func(s *Settings) string { return format(*field(s)) },
	}
}

func name(key, meaning string, field func(*Settings) *string) setting {
	return newSetting(key, "name", meaning, field, parseName, formatPlain[string])
}

func file(key, meaning string, field func(*Settings) *string) setting {
	return newSetting(key, "path", meaning, field, parsePath, formatPlain[string])
}

func url(key, meaning string, field func(*Settings) *string) setting {
	return newSetting(key, "URL", meaning, field, parseURL, formatPlain[string])
}

func address(key, meaning string, field func(*Settings) *netip.AddrPort) setting {
	return newSetting(key, "IP:port", meaning, field, parseAddress, formatAddress)
}

func addresses(key, meaning string, field func(*Settings) *[]netip.AddrPort) setting {
	return newSetting(key, "list of IP:port", meaning, field, parseAddresses, formatPlain[[]netip.AddrPort])
}

func boolean(key, meaning string, field func(*Settings) *bool) setting {
	return newSetting(key, "true or false", meaning, field, parseBool, formatPlain[bool])
}

func size(key, meaning string, field func(*Settings) *int64) setting {
	return newSetting(key, "size, e.g. 8MiB", meaning, field, parseSize, formatSize)
}

func count(key, meaning string, field func(*Settings) *int) setting {
	return newSetting(key, "whole number, at least 1", meaning, field, parseCount, formatPlain[int])
}

func duration(key, meaning string, field func(*Settings) *time.Duration) setting {
	return newSetting(key, "duration, e.g. 500ms", meaning, field, parseDuration, formatPlain[time.Duration])
}

func fraction(key, meaning string, field func(*Settings) *float64) setting {
	return newSetting(key, "number from 0 to 1", meaning, field, parseFraction, formatPlain[float64])
}

// formatPlain formats a value as [fmt.Sprint] does.
func formatPlain[T any](v T) string { return fmt.Sprint(v) }

// formatAddress formats an address. It returns an empty string for the zero
// address.
func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
