// Package settings reads and checks the settings file of a node. All problems are found at once, each with file, line,
// field, what was found and what is allowed; unknown and doubled fields are problems too.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"stiletrail/internal/failure"
)

// Settings of a node.
type Settings struct {
	// HTTPAddress serves callers, operators, metrics and health.
	HTTPAddress string
	// PeerAddress serves other nodes; AdvertisedAddress is what they are told, where it differs.
	PeerAddress       string
	AdvertisedAddress string
	Zone              string
	Region            string
	Seeds             []string
	// PlatformURL is where the key-value service and the machine list are.
	PlatformURL string
	LogLevel    string
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration

	Dispatchers    int
	GroupSize      int
	RelaysPerZone  int
	MaximumQueries int
	Connections    int
	Hedging        bool
	HedgeShare     float64
	RetryShare     float64
	QueueWait      time.Duration
	ProbeInterval  time.Duration
	StoreInterval  time.Duration
}

// Default gives the settings of fields that are not set.
func Default() Settings {
	return Settings{
		LogLevel: "info", DrainTimeout: 30 * time.Second, Dispatchers: 1, GroupSize: 64, RelaysPerZone: 2,
		MaximumQueries: 4096, Connections: 16, Hedging: true, HedgeShare: 0.08, RetryShare: 0.1,
		QueueWait: 50 * time.Millisecond, ProbeInterval: time.Second, StoreInterval: 5 * time.Second,
	}
}

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

func isAddress(value string) bool {
	_, err := netip.ParseAddrPort(value)
	return err == nil
}

func address[T any](target func(*T) *string) func(*T, string) bool {
	return func(s *T, value string) bool {
		*target(s) = value
		return isAddress(value)
	}
}

func name[T any](target func(*T) *string) func(*T, string) bool {
	const maximumName = 32
	return func(s *T, value string) bool {
		*target(s) = value
		return value != "" && len(value) <= maximumName && !strings.ContainsAny(value, " \t/")
	}
}

func integer[T any](minimum, maximum int, target func(*T) *int) func(*T, string) bool {
	return func(s *T, value string) bool {
		number, err := strconv.Atoi(value)
		*target(s) = number
		return err == nil && number >= minimum && number <= maximum
	}
}

func share[T any](target func(*T) *float64) func(*T, string) bool {
	return fraction(0, 1, target)
}

func fraction[T any](minimum, maximum float64, target func(*T) *float64) func(*T, string) bool {
	return func(s *T, value string) bool {
		number, err := strconv.ParseFloat(value, 64)
		*target(s) = number
		return err == nil && number >= minimum && number <= maximum
	}
}

func duration[T any](minimum, maximum time.Duration, target func(*T) *time.Duration) func(*T, string) bool {
	return func(s *T, value string) bool {
		length, err := time.ParseDuration(value)
		*target(s) = length
		return err == nil && length >= minimum && length <= maximum
	}
}

const addressAllowed = "an IP address and port, as 127.0.0.1:7000"

var fields = []field[Settings]{
	{"http_address", addressAllowed, true, address(func(s *Settings) *string { return &s.HTTPAddress })},
	{"peer_address", addressAllowed, true, address(func(s *Settings) *string { return &s.PeerAddress })},
	{"advertised_address", addressAllowed, false, address(func(s *Settings) *string { return &s.AdvertisedAddress })},
	{"zone", "1 to 32 characters without blanks and slashes", true, name(func(s *Settings) *string { return &s.Zone })},
	{"region", "1 to 32 characters without blanks and slashes", false, name(func(s *Settings) *string { return &s.Region })},
	{"seeds", "a list of IP addresses and ports", false, setSeeds},
	{"platform_url", "http:// with an IP address and port", true, setPlatform},
	{"log_level", "debug, info, warn or error", false, setLogLevel},
	{"drain_timeout", "1s to 10m", false, duration(time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.DrainTimeout })},
	{"dispatchers_per_group", "1 to 64", false, integer(1, 64, func(s *Settings) *int { return &s.Dispatchers })},
	{"group_size", "1 to 1024", false, integer(1, 1024, func(s *Settings) *int { return &s.GroupSize })},
	{"relays_per_zone", "1 to 16", false, integer(1, 16, func(s *Settings) *int { return &s.RelaysPerZone })},
	{"maximum_queries", "1 to 1000000", false, integer(1, 1000000, func(s *Settings) *int { return &s.MaximumQueries })},
	{"connections_per_back_end", "1 to 4096", false, integer(1, 4096, func(s *Settings) *int { return &s.Connections })},
	{"hedging", "true or false", false, setHedging},
	{"hedge_share", "0 to 1", false, share(func(s *Settings) *float64 { return &s.HedgeShare })},
	{"retry_share", "0 to 1", false, share(func(s *Settings) *float64 { return &s.RetryShare })},
	{"queue_wait", "1ms to 10s", false, duration(time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.QueueWait })},
	{"probe_interval", "50ms to 30s", false, duration(50*time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.ProbeInterval })},
	{"store_interval", "100ms to 10m", false, duration(100*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.StoreInterval })},
}

func setSeeds(s *Settings, value string) bool { return setAddresses(&s.Seeds, value) }

func setAddresses(target *[]string, value string) bool {
	*target = nil
	for _, address := range strings.Split(value, ",") {
		address = strings.TrimSpace(address)
		if !isAddress(address) {
			return false
		}
		*target = append(*target, address)
	}
	return true
}

func setPlatform(s *Settings, value string) bool {
	s.PlatformURL = value
	rest, ok := strings.CutPrefix(value, "http://")
	return ok && isAddress(rest)
}

func setLogLevel(s *Settings, value string) bool { return setLevel(&s.LogLevel, value) }

func setLevel(target *string, value string) bool {
	*target = value
	return value == "debug" || value == "info" || value == "warn" || value == "error"
}

func setHedging(s *Settings, value string) bool {
	s.Hedging = value == "true"
	return value == "true" || value == "false"
}

// Override is a setting given as a flag; it goes before the file.
type Override struct {
	Field string
	Value string
}

// Load reads the file, where a path is given, and the overrides. The failure, of code SETTINGS_INVALID, lists all problems.
func Load(path string, overrides []Override) (Settings, error) {
	return load(path, overrides, Default(), fields)
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

// Parse reads settings from the text of a file and overrides, and returns all problems.
func Parse(file string, text []byte, overrides []Override) (Settings, []Problem) {
	return parse(file, text, overrides, Default(), fields)
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

// Names returns the names of all fields.
func Names() []string { return namesOf(fields) }

func namesOf[T any](fields []field[T]) []string {
	names := make([]string, 0, len(fields))
	for _, known := range fields {
		names = append(names, known.name)
	}
	return names
}
