// Package experiment plays variants of a system on the same days with the same seeds, and says what their differences are worth.
//
// It owns the plan, the file of results and their comparison; what plays a day is a Player, of which it knows nothing. Play may
// have several days under way at a time; Compare, Print and Plot only compute and write.
package experiment

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"stiletrail/internal/failure"
)

// Variant of the system.
type Variant struct {
	Name string `yaml:"name"`
	// Revision of the sources; empty for those at hand.
	Revision string `yaml:"revision"`
	// Settings laid over those of the gateway, by field.
	Settings map[string]string `yaml:"settings"`
}

// Plan says what is played. Every variant is played on every day of every site with every seed.
type Plan struct {
	// Baseline is the variant that others are compared with.
	Baseline string    `yaml:"baseline"`
	Variants []Variant `yaml:"variants"`
	// Sites are names of deployments, or of altered ones.
	Sites   []string      `yaml:"sites"`
	Altered []AlteredSite `yaml:"altered"`
	Days    []string      `yaml:"days"`
	// Seeds of the days; 0 is a day's own.
	Seeds []uint64 `yaml:"seeds"`
	// ChargeProcessor counts processor time, which differs from run to run.
	ChargeProcessor bool `yaml:"charge_processor"`
}

// AlteredSite is a deployment with other figures.
type AlteredSite struct {
	Name string `yaml:"name"`
	// Site that it is made of.
	Site string `yaml:"site"`
	// Factors multiplies fields of its file.
	Factors map[string]float64 `yaml:"times"`
}

// Run is one day to be played.
type Run struct {
	Variant string `json:"variant"`
	Site    string `json:"site"`
	Day     string `json:"day"`
	Seed    uint64 `json:"seed"`
}

// Load reads a plan. The failure, of code SETTINGS_INVALID, lists all problems; known are the fields that a variant may set.
func Load(path string, known []string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, failure.Wrap(err, failure.SettingsInvalid, "the plan cannot be read")
	}
	var plan Plan
	if err := yaml.UnmarshalWithOptions(text, &plan, yaml.Strict()); err != nil {
		return Plan{}, failure.Wrap(err, failure.SettingsInvalid, "the plan cannot be read")
	}
	if problems := plan.Problems(known); len(problems) > 0 {
		return Plan{}, failure.New(failure.SettingsInvalid, "the plan is not valid:\n  "+strings.Join(problems, "\n  "))
	}
	return plan, nil
}

// Problems of a plan, all of them. Known are the fields that a variant may set.
func (p *Plan) Problems(known []string) []string {
	var problems []string
	add := func(format string, values ...any) { problems = append(problems, fmt.Sprintf(format, values...)) }
	names := map[string]bool{}
	for i, v := range p.Variants {
		if v.Name == "" || strings.ContainsAny(v.Name, "/ ") {
			add("variant %d: the name %q is empty or has a blank or slash", i+1, v.Name)
		}
		if names[v.Name] {
			add("variant %d: the name %q is there twice", i+1, v.Name)
		}
		names[v.Name] = true
		for field := range v.Settings {
			if !slices.Contains(known, field) {
				add("variant %q: %q is no setting", v.Name, field)
			}
		}
	}
	for i, a := range p.Altered {
		if a.Name == "" || a.Site == "" || a.Name == a.Site {
			add("altered site %d: it needs a name of its own and the site that it is made of", i+1)
		}
		for field, factor := range a.Factors {
			if factor <= 0 {
				add("altered site %q: %s is multiplied by %v, allowed is more than 0", a.Name, field, factor)
			}
		}
	}
	if !names[p.Baseline] {
		add("the baseline %q is no variant", p.Baseline)
	}
	counts := map[string]int{"variants": len(p.Variants), "sites": len(p.Sites), "days": len(p.Days), "seeds": len(p.Seeds)}
	for name, count := range counts {
		if count == 0 {
			add("no %s", name)
		}
	}
	return problems
}

// Runs of the plan, those of one day and seed next to each other, so that a break leaves whole pairs.
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
