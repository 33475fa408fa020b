package command

import (
	"context"
	"flag"
	"net/http"
	"os"
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
	return func(ctx context.Context, s streams, _ []string) error {
		return join(ctx, s, *path, *quiet)
	}
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
