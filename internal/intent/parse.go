// Package intent parses and validates an operator's intent, which is the wanted configuration of one service, and makes
// a plan of it: the list of the changes that confirming the intent would make.
//
// Planning is deterministic: on every node, the same intent and the same base document give the same plan and digest.
// The package owns no state, does no I/O and reads no clock.
package intent

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
)

// Limits of an intent.
const (
	// maximumSize is the largest size of an intent's text, in bytes.
	maximumSize        = 4 << 20
	maximumBackEnds    = 20000
	maximumServiceName = 64
	maximumSlots       = 4096
	maximumConnections = 65536
	// maximumDeadline is the longest deadline of a service's searches, in milliseconds.
	maximumDeadline   = 60000
	maximumRegionName = 32
)

// Intent is the configuration that an operator wants for one service.
type Intent struct {
	Service string `yaml:"service"`
	// Delete asks for the service to be deleted. The specification must then have no back ends.
	Delete bool `yaml:"delete"`

	catalog.Specification `yaml:",inline"`
}

// Problem is an invalid field of an intent.
type Problem struct {
	// Field is the path of the field.
	Field string
	// Line is the line of the field, counted from one. It is zero if the intent does not have the field.
	Line int
	// Found is the value that was found, Allowed a description of the allowed values.
	Found   string
	Allowed string
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	location := p.Field
	if p.Line > 0 {
		location = fmt.Sprintf("line %d: %s", p.Line, p.Field)
	}
	return fmt.Sprintf("%s: found %s, allowed is %s", location, p.Found, p.Allowed)
}

// Parse parses and validates an intent in YAML or JSON. An unknown field is an error. Errors are of code
// INVALID_ARGUMENT; an error of the validation lists all invalid fields with their lines.
func Parse(text []byte) (Intent, error) {
	var intent Intent
	if len(text) > maximumSize {
		return intent, failure.NewRefusal(failure.InvalidArgument, "the intent is over 4 MiB", 0)
	}
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&intent); err != nil {
		return intent, failure.NewRefusal(failure.InvalidArgument, yaml.FormatError(err, false, true), 0)
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return intent, failure.NewRefusal(failure.InvalidArgument, yaml.FormatError(err, false, true), 0)
	}
	validation := validator{file: file}
	validation.checkIntent(intent)
	return intent, validation.failure()
}

// failure returns an error that lists all problems, or nil if there are none.
func (v *validator) failure() error {
	if len(v.problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(v.problems))
	for _, problem := range v.problems {
		lines = append(lines, problem.String())
	}
	return failure.NewRefusal(failure.InvalidArgument, strings.Join(lines, "; "), 0)
}

// validator checks the fields of an intent and collects the problems.
type validator struct {
	file     *ast.File
	problems []Problem
}

// lineOf returns the line of the field with the given YAML path, or zero if the file does not have the field.
func lineOf(file *ast.File, path string) int {
	compiled, err := yaml.PathString("$." + path)
	if err != nil {
		return 0
	}
	node, err := compiled.FilterFile(file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// check records a problem of the field unless ok is true.
func (v *validator) check(ok bool, field string, found any, allowed string) {
	if ok {
		return
	}
	problem := Problem{Field: field, Line: lineOf(v.file, field), Found: fmt.Sprintf("%v", found), Allowed: allowed}
	if problem.Found == "" {
		problem.Found = "nothing"
	}
	v.problems = append(v.problems, problem)
}

func (v *validator) checkIntent(intent Intent) {
	v.check(validName(intent.Service), "service", intent.Service, "1 to 64 of a-z, 0-9, '-' and '.'")
	if intent.Delete {
		v.check(len(intent.BackEnds) == 0, "back_ends", len(intent.BackEnds), "none with delete")
		return
	}
	count := len(intent.BackEnds)
	v.check(count > 0 && count <= maximumBackEnds, "back_ends", count, "1 to 20000 back ends")
	v.check(intent.MinimumCoverage >= 0 && intent.MinimumCoverage <= 1, "minimum_coverage", intent.MinimumCoverage, "0 to 1")
	known := intent.Preference == catalog.LatencyFirst || intent.Preference == catalog.CoverageFirst
	v.check(known, "preference", intent.Preference, "latency or coverage")
	deadline := intent.DeadlineMilliseconds >= 1 && intent.DeadlineMilliseconds <= maximumDeadline
	v.check(deadline, "deadline_milliseconds", intent.DeadlineMilliseconds, "1 to 60000")
	tail := intent.TailBudgetMilliseconds >= 0 && intent.TailBudgetMilliseconds <= intent.DeadlineMilliseconds
	v.check(tail, "tail_budget_milliseconds", intent.TailBudgetMilliseconds, "0 to deadline_milliseconds")
	seen := map[string]bool{}
	for i, backEnd := range intent.BackEnds {
		v.checkBackEnd(fmt.Sprintf("back_ends[%d]", i), backEnd, seen)
	}
}

func (v *validator) checkBackEnd(path string, backEnd catalog.BackEnd, seen map[string]bool) {
	_, err := netip.ParseAddrPort(backEnd.Address)
	v.check(err == nil, path+".address", backEnd.Address, "an IP address and port")
	v.check(!seen[backEnd.Address], path+".address", backEnd.Address, "each address once")
	seen[backEnd.Address] = true
	v.check(validName(backEnd.Zone), path+".zone", backEnd.Zone, "1 to 64 of a-z, 0-9, '-' and '.'")
	v.check(len(backEnd.Region) <= maximumRegionName, path+".region", backEnd.Region, "up to 32 characters")
	v.check(backEnd.Slots >= 1 && backEnd.Slots <= maximumSlots, path+".slots", backEnd.Slots, "1 to 4096")
	connections := backEnd.Connections >= 1 && backEnd.Connections <= maximumConnections
	v.check(connections, path+".connections", backEnd.Connections, "1 to 65536")
}

func validName(name string) bool {
	if name == "" || len(name) > maximumServiceName {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '.' {
			return false
		}
	}
	return true
}
