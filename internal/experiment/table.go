package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// Row compares a variant with the baseline on a day, or on all days of a site, by one measure.
type Row struct {
	Site string `json:"site"`
	// Day is empty for all days.
	Day     string `json:"day,omitempty"`
	Variant string `json:"variant"`
	Measure string `json:"measure"`
	// Runs counts those whose pair was played too.
	Runs int     `json:"runs"`
	Mean float64 `json:"mean"`
	// Difference to the baseline in the mean of pairs of the same day and seed, and its standard error.
	Difference float64 `json:"difference"`
	Error      float64 `json:"error"`
	// WithinSpread: the difference is under two standard errors, which is no result.
	WithinSpread bool `json:"within_spread"`
	// Broken counts runs that broke a rule.
	Broken int `json:"broken"`
}

// errorsToTell is how many standard errors a difference must have.
const errorsToTell = 2

// Compare makes the rows of a plan's results: by site, day, variant and measure, then by site over all days.
func Compare(plan Plan, results []Result) []Row {
	byRun := map[Run]Result{}
	measures := map[string]bool{}
	for _, r := range results {
		byRun[r.Run] = r
		for name := range r.Measures {
			measures[name] = true
		}
	}
	names := make([]string, 0, len(measures))
	for name := range measures {
		names = append(names, name)
	}
	slices.Sort(names)
	var rows []Row
	for _, site := range plan.Sites {
		for _, day := range append(slices.Clone(plan.Days), "") {
			for _, v := range plan.Variants {
				pairs := plan.pairs(byRun, site, day, v.Name)
				for _, name := range names {
					if row, ok := compare(pairs, name); ok {
						row.Site, row.Day, row.Variant = site, day, v.Name
						rows = append(rows, row)
					}
				}
			}
		}
	}
	return rows
}

// pair is a run of a variant beside the baseline's.
type pair struct{ variant, baseline Result }

func (p *Plan) pairs(byRun map[Run]Result, site, day, variant string) []pair {
	var pairs []pair
	for _, run := range p.Runs() {
		if run.Site != site || run.Variant != variant || (day != "" && run.Day != day) {
			continue
		}
		base := run
		base.Variant = p.Baseline
		v, played := byRun[run]
		b, basePlayed := byRun[base]
		if played && basePlayed {
			pairs = append(pairs, pair{v, b})
		}
	}
	return pairs
}

func compare(pairs []pair, measure string) (Row, bool) {
	row := Row{Measure: measure}
	var differences []float64
	for _, p := range pairs {
		value, ok := p.variant.Measures[measure]
		if !ok {
			continue
		}
		row.Mean += value
		differences = append(differences, value-p.baseline.Measures[measure])
		if len(p.variant.Broken) > 0 {
			row.Broken++
		}
	}
	row.Runs = len(differences)
	if row.Runs == 0 {
		return row, false
	}
	row.Mean /= float64(row.Runs)
	row.Difference, row.Error = meanAndError(differences)
	row.WithinSpread = math.Abs(row.Difference) < errorsToTell*row.Error || row.Runs < 2
	return row, true
}

// meanAndError returns the mean and its standard error.
func meanAndError(values []float64) (mean, standardError float64) {
	for _, v := range values {
		mean += v
	}
	n := float64(len(values))
	mean /= n
	if n < 2 {
		return mean, 0
	}
	squares := 0.0
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(squares / (n - 1) / n)
}

// columns of the table; the last one holds remarks.
var columns = []string{"site", "day", "variant", "measure", "runs", "mean", "difference", "error", ""}

// Print writes the rows of some measures as a table, or of all if none is named.
func Print(w io.Writer, rows []Row, measures ...string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join(columns, "\t"))
	for _, r := range rows {
		if len(measures) > 0 && !slices.Contains(measures, r.Measure) {
			continue
		}
		day := r.Day
		if day == "" {
			day = "all"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%.4f\t%+.4f\t%.4f\t%s\n",
			r.Site, day, r.Variant, r.Measure, r.Runs, r.Mean, r.Difference, r.Error, r.remark())
	}
	_ = table.Flush()
}

func (r Row) remark() string {
	var remarks []string
	if r.WithinSpread && r.Difference != 0 {
		remarks = append(remarks, "within the spread")
	}
	if r.Broken > 0 {
		remarks = append(remarks, fmt.Sprintf("%d broke a rule", r.Broken))
	}
	return strings.Join(remarks, ", ")
}
