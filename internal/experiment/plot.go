package experiment

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"stiletrail/internal/failure"
)

// Sizes of a plot.
const (
	plotHeight   = 10 * vg.Centimeter
	widthPerBar  = 2.6 * vg.Centimeter
	plotMargin   = 6 * vg.Centimeter
	barThickness = 12 * vg.Length(1)
)

// Plot draws the differences of one measure over all days, a bar for each variant and site with its standard errors, as PNG.
func Plot(path string, rows []Row, measure string) error {
	p := plot.New()
	p.Title.Text = measure + ": difference to the baseline, with two standard errors"
	var bars plotter.Values
	var ends errorPoints
	var labels []string
	for _, r := range rows {
		if r.Day != "" || r.Measure != measure {
			continue
		}
		ends.XYs = append(ends.XYs, plotter.XY{X: float64(len(bars)), Y: r.Difference})
		ends.YErrors = append(ends.YErrors, struct{ Low, High float64 }{errorsToTell * r.Error, errorsToTell * r.Error})
		bars = append(bars, r.Difference)
		labels = append(labels, r.Variant+"\n"+r.Site)
	}
	if len(bars) == 0 {
		return failure.New(failure.InvalidArgument, "there is nothing to plot of "+measure)
	}
	chart, err := plotter.NewBarChart(bars, barThickness)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "the plot cannot be drawn")
	}
	whiskers, err := plotter.NewYErrorBars(ends)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "the plot cannot be drawn")
	}
	p.Add(plotter.NewGrid(), chart, whiskers)
	p.NominalX(labels...)
	if err := p.Save(plotMargin+widthPerBar*vg.Length(len(bars)), plotHeight, path); err != nil {
		return failure.Wrap(err, failure.Internal, "the plot cannot be written")
	}
	return nil
}

type errorPoints struct {
	plotter.XYs
	plotter.YErrors
}
