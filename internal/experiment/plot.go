package experiment

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"stiletrail/internal/failure"
)

// Dimensions of a plot.
const (
	plotWidth    = 22 * vg.Centimeter
	heightPerBar = 0.55 * vg.Centimeter
	plotMargin   = 3 * vg.Centimeter
	barThickness = 8 * vg.Length(1)
)

// Plot draws the differences of one measure over all days as an image: one bar for each variant and site, with an error bar of
// two standard errors. The baseline is left out, since its difference is zero.
func Plot(path string, rows []Row, measure string) error {
	p := plot.New()
	p.Title.Text = measure + ": difference to the baseline, with two standard errors"
	var bars plotter.Values
	var ends errorPoints
	var labels []string
	for _, r := range rows {
		if r.Day != "" || r.Measure != measure || (r.Difference == 0 && r.Error == 0) {
			continue
		}
		ends.XYs = append(ends.XYs, plotter.XY{X: r.Difference, Y: float64(len(bars))})
		ends.XErrors = append(ends.XErrors, struct{ Low, High float64 }{significantErrors * r.Error, significantErrors * r.Error})
		bars = append(bars, r.Difference)
		labels = append(labels, r.Variant+", "+r.Site)
	}
	if len(bars) == 0 {
		return failure.New(failure.InvalidArgument, "no results to plot for the measure "+measure)
	}
	chart, err := plotter.NewBarChart(bars, barThickness)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "the plot cannot be drawn")
	}
	chart.Horizontal = true
	whiskers, err := plotter.NewXErrorBars(ends)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "the plot cannot be drawn")
	}
	p.Add(plotter.NewGrid(), chart, whiskers)
	p.NominalY(labels...)
	if err := p.Save(plotWidth, plotMargin+heightPerBar*vg.Length(len(bars)), path); err != nil {
		return failure.Wrap(err, failure.Internal, "cannot write the file of the plot")
	}
	return nil
}

type errorPoints struct {
	plotter.XYs
	plotter.XErrors
}
