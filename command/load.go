package command

import (
	"context"
	"flag"

	"github.com/lovagecrank/lovagecrank/load"
)

func loadFlags(fs *flag.FlagSet) action {
	path := fs.String("config", "", "read the load experiment from `FILE`")
	plot := fs.String("plot", "", "write a plot of response times over time to `FILE`, which must end in .png")
	format := outputFlag(fs)
	return func(ctx context.Context, s streams, _ []string) error {
		if *path == "" {
			return &usageError{message: "-config FILE is required"}
		}
		c, err := load.Read(*path)
		if err != nil {
			return err
		}
		ctx, cancel := untilSignal(ctx)
		defer cancel()
		report, err := load.Run(ctx, c, s.err)
		if err != nil {
			return err
		}
		if *plot != "" {
			if err := report.SavePlot(*plot); err != nil {
				return err
			}
		}
		if *format == jsonFormat {
			return writeJSON(s.out, report)
		}
		return report.WriteTable(s.out)
	}
}
