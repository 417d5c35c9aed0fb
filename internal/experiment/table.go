package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// Row compares a variant with the baseline by one measure, on one day or on all days of a site.
type Row struct {
	Site string `json:"site"`
	// Day is empty if the row covers all days.
	Day     string `json:"day,omitempty"`
	Variant string `json:"variant"`
	Measure string `json:"measure"`
	// Runs counts the runs for which the baseline's run of the same day and seed exists.
	Runs int     `json:"runs"`
	Mean float64 `json:"mean"`
	// Difference is the mean difference to the baseline over pairs of the same day and seed. Error is its standard error.
	Difference float64 `json:"difference"`
	Error      float64 `json:"error"`
	// WithinSpread says that the difference is less than two standard errors or comes from one run, and is not significant.
	WithinSpread bool `json:"within_spread"`
	// Broken counts the runs that violated a rule.
	Broken int `json:"broken"`
}

// significantErrors is the number of standard errors from which a difference counts as significant.
const significantErrors = 2

// Compare computes the rows for the results of a plan: for each site, one for each day, variant and measure, and then one for
// each variant and measure over all days.
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

// pair is the result of a variant and that of the baseline on the same day with the same seed.
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
	row.WithinSpread = math.Abs(row.Difference) < significantErrors*row.Error || row.Runs < 2
	return row, true
}

// meanAndError returns the mean of the values and its standard error, which is 0 for a single value.
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

// columns are the headings of the table. The last column holds remarks and has no heading.
var columns = []string{"site", "day", "variant", "measure", "runs", "mean", "difference", "error", ""}

// Print writes the rows of the given measures as a table, or of all measures if none is given.
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
