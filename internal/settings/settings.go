// Package settings reads and validates the settings file of a node (node.go) or of a gateway (gateway.go). It reports
// all problems of a file at once: each with file, line and field, with what was found and what is allowed. A field that
// is unknown or set twice is a problem too.
//
// The package owns the names, the allowed values and the defaults of the settings. It keeps no state.
package settings

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"stiletrail/internal/failure"
)

// field describes one setting: its name, its allowed values in words, whether it must be set, and a setter that reports
// whether a value is allowed.
type field[T any] struct {
	name     string
	allowed  string
	required bool
	set      func(s *T, value string) bool
}

// Problem is one invalid, unknown, repeated or missing setting.
type Problem struct {
	File    string
	Line    int
	Field   string
	Found   string
	Allowed string
}

// String formats the problem as one line.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	return fmt.Sprintf("%s: %s: found %s, allowed is %s", place, p.Field, p.Found, p.Allowed)
}

// Override is a setting given by a command-line flag. It takes precedence over the file.
type Override struct {
	Field string
	Value string
}

func load[T any](path string, overrides []Override, defaults T, fields []field[T]) (T, error) {
	var text []byte
	if path != "" {
		read, err := os.ReadFile(path)
		if err != nil {
			return defaults, failure.Wrap(err, failure.SettingsInvalid, "cannot read the settings file")
		}
		text = read
	}
	loaded, problems := parse(path, text, overrides, defaults, fields)
	if len(problems) == 0 {
		return loaded, nil
	}
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return loaded, failure.New(failure.SettingsInvalid, strings.Join(lines, "\n"))
}

func parse[T any](file string, text []byte, overrides []Override, defaults T, fields []field[T]) (T, []Problem) {
	reader := reader[T]{file: file, settings: defaults, fields: fields, seen: map[string]bool{}}
	reader.readText(text)
	for _, override := range overrides {
		reader.seen[override.Field] = false
		reader.set("flags", 0, override.Field, override.Value)
	}
	for _, known := range fields {
		if _, set := reader.seen[known.name]; known.required && !set {
			reader.addProblem(file, 0, known.name, "nothing", known.allowed)
		}
	}
	return reader.settings, reader.problems
}

// reader collects the settings and the problems of one file and its overrides. seen has the fields that have been set;
// an override may set a field again that the file has set.
type reader[T any] struct {
	file     string
	settings T
	fields   []field[T]
	seen     map[string]bool
	problems []Problem
}

func (r *reader[T]) addProblem(file string, line int, field, found, allowed string) {
	if file == "" {
		file = "flags"
	}
	r.problems = append(r.problems, Problem{File: file, Line: line, Field: field, Found: found, Allowed: allowed})
}

func (r *reader[T]) readText(text []byte) {
	if len(text) == 0 {
		return
	}
	parsed, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.addProblem(r.file, 0, "the file", "invalid YAML ("+strings.ReplaceAll(err.Error(), "\n", " ")+")", "a YAML mapping")
		return
	}
	for _, document := range parsed.Docs {
		r.readDocument(document.Body)
	}
}

func (r *reader[T]) readDocument(body ast.Node) {
	var values []*ast.MappingValueNode
	switch node := body.(type) {
	case nil:
		return
	case *ast.MappingNode:
		values = node.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{node}
	default:
		r.addProblem(r.file, body.GetToken().Position.Line, "the file", "a "+body.Type().String(), "a YAML mapping")
		return
	}
	for _, value := range values {
		key := value.Key.String()
		line := value.Key.GetToken().Position.Line
		r.set(r.file, line, key, textOf(value.Value))
	}
}

// textOf returns the plain text of a scalar, or the scalars of a list joined by commas.
func textOf(node ast.Node) string {
	switch node := node.(type) {
	case *ast.StringNode:
		return node.Value
	case *ast.SequenceNode:
		parts := make([]string, 0, len(node.Values))
		for _, value := range node.Values {
			parts = append(parts, textOf(value))
		}
		return strings.Join(parts, ",")
	case nil:
		return ""
	}
	return node.GetToken().Value
}

// set sets a field to a value, or adds a problem if the field is unknown or set twice, or if the value is not allowed.
func (r *reader[T]) set(file string, line int, key, value string) {
	for _, known := range r.fields {
		if known.name != key {
			continue
		}
		if r.seen[key] {
			r.addProblem(file, line, key, "the field a second time", "each field once")
			return
		}
		r.seen[key] = true
		if !known.set(&r.settings, value) {
			r.addProblem(file, line, key, strconv.Quote(value), known.allowed)
		}
		return
	}
	r.addProblem(file, line, key, "an unknown field", "one of "+strings.Join(fieldNames(r.fields), ", "))
}

func fieldNames[T any](fields []field[T]) []string {
	names := make([]string, 0, len(fields))
	for _, known := range fields {
		names = append(names, known.name)
	}
	return names
}
