package command

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"

	"github.com/lovagecrank/lovagecrank/serve"
)

func serveFlags(fs *flag.FlagSet) action {
	path := configFlag(fs)
	return func(ctx context.Context, s streams, _ []string) error {
		cfg, err := loadSettings(*path)
		if err != nil {
			return err
		}
		limitCollector(cfg.Limits.Footprint())
		stop, force, cleanup := stopSignals(ctx)
		defer cleanup()
		logger := log.With(newLogger(s.err), "instance", cfg.Instance.ID)
		return serve.Run(stop, cfg, serve.Options{Logger: logger, Force: force})
	}
}

// newLogger returns a logger that writes one logfmt line per event.
func newLogger(w io.Writer) log.Logger {
	return log.With(log.NewLogfmtLogger(log.NewSyncWriter(w)), "ts", log.DefaultTimestampUTC)
}

// stopSignals returns a context that is canceled by the first SIGINT or SIGTERM
// and one that is canceled by the second. The caller must call cleanup.
func stopSignals(ctx context.Context) (stop, force context.Context, cleanup func()) {
	stop, cancelStop := context.WithCancel(ctx)
	force, cancelForce := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		for _, cancel := range []context.CancelFunc{cancelStop, cancelForce} {
			select {
			case <-signals:
				cancel()
			case <-force.Done():
				return
			}
		}
	}()
	return stop, force, func() {
		signal.Stop(signals)
		cancelStop()
		cancelForce()
	}
}
