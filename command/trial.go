package command

import (
	"context"
	"flag"

	"github.com/lovagecrank/lovagecrank/trial"
)

func trialFlags(fs *flag.FlagSet) action {
	rounds := fs.Int("rounds", trial.DefaultRounds, "submit each example job `N` times")
	logs := fs.Bool("log", false, "write the instances' logs to standard error")
	return func(ctx context.Context, s streams, _ []string) error {
		if *rounds < 1 {
			return &usageError{message: "-rounds must be at least 1"}
		}
		ctx, cancel := untilSignal(ctx)
		defer cancel()
		o := trial.Options{Rounds: *rounds}
		if *logs {
			o.Logger = newLogger(s.err)
		}
		return trial.Run(ctx, o, s.out)
	}
}
