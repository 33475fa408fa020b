package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"runtime/pprof"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lovagecrank/lovagecrank/event"
	"github.com/lovagecrank/lovagecrank/logline"
	"github.com/lovagecrank/lovagecrank/platform"
	"github.com/lovagecrank/lovagecrank/runner"
)

func joinFlags(fs *flag.FlagSet) action {
	path := fs.String("settings", os.Getenv(platform.SettingsVariable), "read the platform's settings from `FILE`")
	quiet := fs.Bool("quiet", false, "do not write a log")
	profile := fs.String("cpu-profile", "", "write a profile of the processor time to `FILE` until the process ends")
	return func(ctx context.Context, s streams, _ []string) error {
		endProfile, err := startProfile(*profile)
		if err != nil {
			return err
		}
		defer endProfile()
		return join(ctx, s, *path, *quiet)
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

// join runs an instance on the platform. The first SIGINT or SIGTERM stops it
// gracefully, the second at once.
func join(ctx context.Context, s streams, path string, quiet bool) error {
	now := time.Now()
	cfg, err := platform.LoadSettings(path, uint64(now.UnixNano()))
	if err != nil {
		return err
	}
	stop, force, cleanup := stopSignals(ctx)
	defer cleanup()

	lines := logline.NewWriter("instance", cfg.Runner.Self.ID)
	logging, endLogging := context.WithCancel(context.Background())
	record := lines.Write
	if quiet {
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
	r.Record(now, event.Record{Kind: event.SettingsLoaded, Subject: path})
	var group conc.WaitGroup
	group.Go(func() { lines.Run(logging, s.out) })
	group.Go(func() { watchSettings(logging, path, store, r.Record) })
	defer group.Wait()
	defer endLogging()
	return r.Run(stop, force)
}
