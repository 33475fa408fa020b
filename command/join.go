package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"runtime/pprof"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/footprint"
	"github.com/lovagecrank/lovagecrank/logline"
	"github.com/lovagecrank/lovagecrank/platform"
	"github.com/lovagecrank/lovagecrank/runner"
)

// joinOptions are the values of the flags of the command.
type joinOptions struct {
	// settings is the path of the platform's settings file.
	settings string
	// quiet means that no log is written.
	quiet bool
	// jobTasks is the maximum number of tasks of one job.
	jobTasks int
}

func joinFlags(fs *flag.FlagSet) action {
	path := fs.String("settings", os.Getenv(platform.SettingsVariable), "read the platform's settings from `FILE`")
	quiet := fs.Bool("quiet", false, "do not write a log")
	jobTasks := fs.Int("job-tasks", footprint.DefaultJobTasks, "refuse jobs of more than `N` tasks")
	profile := fs.String("cpu-profile", "", "write a profile of the processor time to `FILE` until the process ends")
	return func(ctx context.Context, s streams, _ []string) error {
		if *jobTasks < 1 {
			return fmt.Errorf("job-tasks: %d is not at least 1", *jobTasks)
		}
		endProfile, err := startProfile(*profile)
		if err != nil {
			return err
		}
		defer endProfile()
		return join(ctx, s, joinOptions{settings: *path, quiet: *quiet, jobTasks: *jobTasks})
	}
}

// startProfile starts a profile of the processor time, unless the path is empty. The
// caller must call end, which completes the file.
func startProfile(path string) (end func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("cpu-profile: %w; name a file that can be written", err)
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("cpu-profile: %w", err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}

// limitCollector tells the collector the memory that the instance may use, unless that is
// not known or the environment sets a limit.
func limitCollector(l footprint.Limits) {
	if l.InstanceBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(l.CollectorBytes())
	}
}

// join runs an instance on the platform. The first SIGINT or SIGTERM stops it
// gracefully, the second at once.
func join(ctx context.Context, s streams, o joinOptions) error {
	now := time.Now()
	cfg, err := platform.LoadSettings(o.settings, uint64(now.UnixNano()))
	if err != nil {
		return err
	}
	cfg.Runner.Limits.JobTasks = o.jobTasks
	limitCollector(cfg.Runner.Limits)
	stop, force, cleanup := stopSignals(ctx)
	defer cleanup()

	lines := logline.NewWriter("instance", cfg.Runner.Self.ID)
	logging, endLogging := context.WithCancel(context.Background())
	record := lines.Write
	if o.quiet {
		record = func(time.Time, event.Record) {}
	}
	store := platform.NewStore(cfg.StoreAddress)
	r := runner.New(cfg.Runner, runner.Options{
		EndpointClient:      platform.NewWorkerClient(),
		Store:               store,
		DecodeConfiguration: platform.DecodeConfiguration,
		NewHandler:          func(r *runner.Runner) http.Handler { return platform.NewJobHandler(r) },
		Record:              record,
	})
	lines.OnDropped = r.CountEvent
	r.Record(now, event.Record{Kind: event.SettingsLoaded, Subject: o.settings})
	var group conc.WaitGroup
	group.Go(func() { lines.Run(logging, s.out) })
	group.Go(func() { watchSettings(logging, o.settings, store, r.Record) })
	defer group.Wait()
	defer endLogging()
	return r.Run(stop, force)
}
