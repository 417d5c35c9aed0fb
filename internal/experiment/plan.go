// Package experiment compares variants of a system. It runs all variants on the same simulated days with the same seeds and
// computes the differences of their measures and whether these are significant.
//
// The package owns the plan, the file of results and the comparison. A Runner, supplied by the caller, runs one day. RunAll may
// have several runs in flight at a time. Compare, Print and Plot only compute and write output.
package experiment

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"stiletrail/internal/failure"
)

// Variant is one variant of the system.
type Variant struct {
	Name string `yaml:"name"`
	// Revision of the sources. Empty means the present working tree.
	Revision string `yaml:"revision"`
	// Settings override those of the gateway, by field.
	Settings map[string]string `yaml:"settings"`
}

// Plan lists what is run. Every variant is run on every day of every site with every seed.
type Plan struct {
	// Baseline is the variant with which the others are compared.
	Baseline string    `yaml:"baseline"`
	Variants []Variant `yaml:"variants"`
	// Sites are names of deployments or of entries of Altered.
	Sites   []string      `yaml:"sites"`
	Altered []AlteredSite `yaml:"altered"`
	Days    []string      `yaml:"days"`
	// Seeds of the days. 0 stands for the seed that a day has by itself.
	Seeds []uint64 `yaml:"seeds"`
	// ChargeProcessor makes the runs account for processor time. Runs with the same seed then give different results.
	ChargeProcessor bool `yaml:"charge_processor"`
}

// AlteredSite is a deployment in which some numbers are multiplied.
type AlteredSite struct {
	Name string `yaml:"name"`
	// Site is the deployment that is altered.
	Site string `yaml:"site"`
	// Factors multiply numeric fields of the deployment's file, by field.
	Factors map[string]float64 `yaml:"times"`
}

// Run identifies one run: a variant on a day of a site with a seed.
type Run struct {
	Variant string `json:"variant"`
	Site    string `json:"site"`
	Day     string `json:"day"`
	Seed    uint64 `json:"seed"`
}

// Load reads and checks a plan. known are the fields that a variant may set. The failure, of code SETTINGS_INVALID, lists all
// problems of the plan.
func Load(path string, known []string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, failure.Wrap(err, failure.SettingsInvalid, "cannot read the experiment plan")
	}
	var plan Plan
	if err := yaml.UnmarshalWithOptions(text, &plan, yaml.Strict()); err != nil {
		return Plan{}, failure.Wrap(err, failure.SettingsInvalid, "cannot parse the experiment plan")
	}
	if problems := plan.Problems(known); len(problems) > 0 {
		return Plan{}, failure.New(failure.SettingsInvalid, "the plan is not valid:\n  "+strings.Join(problems, "\n  "))
	}
	return plan, nil
}

// Problems returns all problems of a plan. known are the fields that a variant may set.
func (p *Plan) Problems(known []string) []string {
	var problems []string
	add := func(format string, values ...any) { problems = append(problems, fmt.Sprintf(format, values...)) }
	names := map[string]bool{}
	for i, v := range p.Variants {
		if v.Name == "" || strings.ContainsAny(v.Name, "/ ") {
			add("variant %d: the name %q is empty or contains a space or a slash", i+1, v.Name)
		}
		if names[v.Name] {
			add("variant %d: the name %q is used twice", i+1, v.Name)
		}
		names[v.Name] = true
		for field := range v.Settings {
			if !slices.Contains(known, field) {
				add("variant %q: %q is not a setting", v.Name, field)
			}
		}
	}
	for i, a := range p.Altered {
		if a.Name == "" || a.Site == "" || a.Name == a.Site {
			add("altered site %d: it needs a site and a name that differs from the site's", i+1)
		}
		for field, factor := range a.Factors {
			if factor <= 0 {
				add("altered site %q: the factor of %s is %v, must be greater than 0", a.Name, field, factor)
			}
		}
	}
	if !names[p.Baseline] {
		add("the baseline %q is not one of the variants", p.Baseline)
	}
	counts := map[string]int{"variants": len(p.Variants), "sites": len(p.Sites), "days": len(p.Days), "seeds": len(p.Seeds)}
	for name, count := range counts {
		if count == 0 {
			add("no %s", name)
		}
	}
	return problems
}

// Runs returns all runs of the plan. The runs of one day and seed follow each other, so that an interrupted experiment has run as
// many complete pairs as possible.
func (p *Plan) Runs() []Run {
	var runs []Run
	for _, site := range p.Sites {
		for _, day := range p.Days {
			for _, seed := range p.Seeds {
				for _, v := range p.Variants {
					runs = append(runs, Run{Variant: v.Name, Site: site, Day: day, Seed: seed})
				}
			}
		}
	}
	return runs
}
