// Package settings reads and checks the settings file of a node (node.go) or a gateway (gateway.go). All problems are
// found at once, each with file, line, field, what was found and what is allowed; unknown and doubled fields are
// problems too.
//
// It owns the names of the settings, what each may be, and what holds where one is not set. It reads the file and keeps nothing.
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

// field describes one setting: how it is read, and what is allowed.
type field[T any] struct {
	name     string
	allowed  string
	required bool
	set      func(s *T, value string) bool
}

// Problem is one fault of the settings.
type Problem struct {
	File    string
	Line    int
	Field   string
	Found   string
	Allowed string
}

// String puts the problem in one line.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	return fmt.Sprintf("%s: %s: found %s, allowed is %s", place, p.Field, p.Found, p.Allowed)
}

// Override is a setting given as a flag; it goes before the file.
type Override struct {
	Field string
	Value string
}

func load[T any](path string, overrides []Override, defaults T, fields []field[T]) (T, error) {
	var text []byte
	if path != "" {
		read, err := os.ReadFile(path)
		if err != nil {
			return defaults, failure.Wrap(err, failure.SettingsInvalid, "the settings file cannot be read")
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
	reader.text(text)
	for _, override := range overrides {
		reader.seen[override.Field] = false
		reader.take("flags", 0, override.Field, override.Value)
	}
	for _, known := range fields {
		if _, set := reader.seen[known.name]; known.required && !set {
			reader.problem(file, 0, known.name, "nothing", known.allowed)
		}
	}
	return reader.settings, reader.problems
}

type reader[T any] struct {
	file     string
	settings T
	fields   []field[T]
	seen     map[string]bool
	problems []Problem
}

func (r *reader[T]) problem(file string, line int, field, found, allowed string) {
	if file == "" {
		file = "flags"
	}
	r.problems = append(r.problems, Problem{File: file, Line: line, Field: field, Found: found, Allowed: allowed})
}

func (r *reader[T]) text(text []byte) {
	if len(text) == 0 {
		return
	}
	parsed, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.problem(r.file, 0, "the file", "no YAML ("+strings.ReplaceAll(err.Error(), "\n", " ")+")", "a YAML mapping")
		return
	}
	for _, document := range parsed.Docs {
		r.document(document.Body)
	}
}

func (r *reader[T]) document(body ast.Node) {
	var values []*ast.MappingValueNode
	switch node := body.(type) {
	case nil:
		return
	case *ast.MappingNode:
		values = node.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{node}
	default:
		r.problem(r.file, body.GetToken().Position.Line, "the file", "a "+body.Type().String(), "a YAML mapping")
		return
	}
	for _, value := range values {
		key := value.Key.String()
		line := value.Key.GetToken().Position.Line
		r.take(r.file, line, key, textOf(value.Value))
	}
}

// textOf returns the plain text of a scalar, or of a list of scalars joined by commas.
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

func (r *reader[T]) take(file string, line int, key, value string) {
	for _, known := range r.fields {
		if known.name != key {
			continue
		}
		if r.seen[key] {
			r.problem(file, line, key, "the field a second time", "each field once")
			return
		}
		r.seen[key] = true
		if !known.set(&r.settings, value) {
			r.problem(file, line, key, strconv.Quote(value), known.allowed)
		}
		return
	}
	r.problem(file, line, key, "an unknown field", "one of "+strings.Join(namesOf(r.fields), ", "))
}

func namesOf[T any](fields []field[T]) []string {
	names := make([]string, 0, len(fields))
	for _, known := range fields {
		names = append(names, known.name)
	}
	return names
}
