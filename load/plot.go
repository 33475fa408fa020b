package load

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of the plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// SavePlot writes a plot of the ratio of response time to ideal over time, with
// two lines for each class. The file extension selects the format, such as .png.
func (r Report) SavePlot(path string) error {
	p := plot.New()
	p.Title.Text = "Response time against ideal"
	p.X.Label.Text = "arrival (s)"
	p.Y.Label.Text = "response time / ideal"
	p.Legend.Top = true
	for i, c := range r.Classes {
		if err := c.addLines(p, i); err != nil {
			return err
		}
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("cannot write the plot; check the path and its extension, such as .png: %w", err)
	}
	return nil
}

// addLines plots p50 as a dashed line and p99 as a solid line.
func (c ClassReport) addLines(p *plot.Plot, color int) error {
	if len(c.Points) == 0 {
		return nil
	}
	p50 := make(plotter.XYs, len(c.Points))
	p99 := make(plotter.XYs, len(c.Points))
	for i, point := range c.Points {
		p50[i] = plotter.XY{X: point.AtSeconds, Y: point.P50}
		p99[i] = plotter.XY{X: point.AtSeconds, Y: point.P99}
	}
	for style, xys := range []plotter.XYs{p99, p50} {
		line, err := plotter.NewLine(xys)
		if err != nil {
			return fmt.Errorf("cannot plot class %s: %w", c.Class, err)
		}
		line.Color = plotutil.Color(color)
		line.Dashes = plotutil.Dashes(style)
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s %s", c.Class, []string{"p99", "p50"}[style]), line)
	}
	return nil
}
