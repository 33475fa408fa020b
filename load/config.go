package load

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"go.yaml.in/yaml/v3"
)

const (
	// maxDuration is the maximum duration of an experiment.
	maxDuration = 10 * time.Minute
	// defaultInFlight is the limit on concurrent jobs if the file sets none.
	defaultInFlight = 2000
	// maxTasks is the maximum number of tasks of one job.
	maxTasks = 1000
)

type (
	// Config describes one experiment.
	Config struct {
		// Addresses are the callers' listeners of the entry instances. Jobs are
		// sent to them round-robin; instances that cannot be connected to are
		// skipped.
		Addresses []netip.AddrPort `yaml:"addresses"`
		Duration  time.Duration    `yaml:"duration"`
		// Seed seeds the random arrivals and run times, to make them
		// repeatable.
		Seed uint64 `yaml:"seed"`
		// NetworkTime is the network round-trip time that an idle system adds
		// to a task. It is part of the ideal response time.
		NetworkTime time.Duration `yaml:"network_time"`
		// ResubmitShare is the fraction of jobs, 0 to 1, that are submitted a
		// second time to the next instance while the first request waits.
		ResubmitShare float64 `yaml:"resubmit_share"`
		// InFlight is the maximum number of jobs in flight. Further arrivals
		// wait; their response time still counts from the intended arrival.
		InFlight int      `yaml:"in_flight"`
		Streams  []Stream `yaml:"streams"`
	}

	// Stream describes jobs of one class that arrive at random.
	Stream struct {
		Class string `yaml:"class"`
		// Teams are the teams of the jobs. Each job's team is chosen at random,
		// with equal probability.
		Teams []string `yaml:"teams"`
		Kind  string   `yaml:"kind"`
		// Target is the response time target of the class, for the reported
		// share of jobs within target; zero means no target.
		Target        time.Duration `yaml:"target"`
		JobsPerSecond float64       `yaml:"jobs_per_second"`
		Burst         Burst         `yaml:"burst"`
		Tasks         Range         `yaml:"tasks"`
		RunTime       RunTime       `yaml:"run_time"`
		Idempotent    bool          `yaml:"idempotent"`
		// DeclaredFactor is the ratio of the run time that a job declares to
		// the actual run time; zero means that it declares none.
		DeclaredFactor float64 `yaml:"declared_factor"`
	}

	// Burst multiplies the arrival rate by Factor during the last Length of
	// each period of Every.
	Burst struct {
		Every  time.Duration `yaml:"every"`
		Length time.Duration `yaml:"length"`
		Factor float64       `yaml:"factor"`
	}

	// Range is a range of integers, including both bounds.
	Range struct {
		Min int `yaml:"min"`
		Max int `yaml:"max"`
	}

	// RunTime is a log-normal distribution, clamped to Min and Max.
	RunTime struct {
		Median time.Duration `yaml:"median"`
		// Sigma is the standard deviation of the logarithm.
		Sigma float64       `yaml:"sigma"`
		Min   time.Duration `yaml:"min"`
		Max   time.Duration `yaml:"max"`
	}
)

// Read reads an experiment from a YAML file and validates it.
func Read(path string) (Config, error) {
	f, err := os.Open(path)
	if err != nil {
		return Config{}, fmt.Errorf("cannot read the experiment file; check the path: %w", err)
	}
	defer f.Close()
	return parse(f)
}

func parse(r io.Reader) (Config, error) {
	var c Config
	dec := yaml.NewDecoder(r)
	dec.KnownFields(true)
	if err := dec.Decode(&c); err != nil {
		return Config{}, fmt.Errorf("invalid experiment file; see examples/load: %w", err)
	}
	if c.InFlight == 0 {
		c.InFlight = defaultInFlight
	}
	return c, c.check()
}

// check returns all validation errors, joined.
func (c Config) check() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(len(c.Addresses) > 0, "addresses: at least one callers' listener is required")
	require(c.Duration > 0 && c.Duration <= maxDuration, "duration: must be above 0 and at most %v", maxDuration)
	require(c.NetworkTime >= 0, "network_time: must not be negative")
	require(c.ResubmitShare >= 0 && c.ResubmitShare <= 1, "resubmit_share: must be from 0 to 1")
	require(c.InFlight > 0, "in_flight: must not be negative")
	require(len(c.Streams) > 0, "streams: at least one is required")
	for i, s := range c.Streams {
		if err := s.check(); err != nil {
			errs = append(errs, fmt.Errorf("streams[%d]: %w", i, err))
		}
	}
	return errors.Join(errs...)
}

func (s Stream) check() error {
	rt := s.RunTime
	switch {
	case s.Class == "":
		return errors.New("class: required")
	case len(s.Teams) == 0:
		return errors.New("teams: at least one is required")
	case !(s.JobsPerSecond > 0):
		return errors.New("jobs_per_second: must be above 0")
	case s.Tasks.Min < 1, s.Tasks.Max < s.Tasks.Min, s.Tasks.Max > maxTasks:
		return fmt.Errorf("tasks: must satisfy 1 <= min <= max <= %d", maxTasks)
	case rt.Min <= 0, rt.Median < rt.Min, rt.Max < rt.Median, !(rt.Sigma >= 0):
		return errors.New("run_time: must satisfy 0 < min <= median <= max and sigma >= 0")
	case s.DeclaredFactor < 0:
		return errors.New("declared_factor: must not be negative")
	default:
		return s.Burst.check()
	}
}

func (b Burst) check() error {
	if b == (Burst{}) || b.Length > 0 && b.Every > b.Length && b.Factor > 0 {
		return nil
	}
	return errors.New("burst: must satisfy 0 < length < every and factor > 0")
}
