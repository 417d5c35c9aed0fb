package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

// noEffect is given in place of a field name for a removed setting: a file may still set it, but it sets no field.
const noEffect = ""

// TestGatewayFileCompatibility: a file that sets every setting of a gateway is valid, and each setting sets its field.
// The file in testdata and its meaning must not change, since users have such files on their machines.
func TestGatewayFileCompatibility(t *testing.T) {
	loaded, err := LoadGateway("testdata/gateway.yaml", nil)
	if err != nil {
		t.Fatal(err)
	}
	checkEffects(t, "testdata/gateway.yaml", loaded, DefaultGateway(), map[string]effect{
		"node":                     {"Node", "gateway-7"},
		"caller_address":           {"CallerAddress", "10.0.0.7:8080"},
		"ready_address":            {"ReadyAddress", "10.0.0.7:8081"},
		"metrics_address":          {"MetricsAddress", "10.0.0.7:8082"},
		"store_address":            {"StoreAddress", "10.0.9.1:2379"},
		"zone":                     {"Zone", "zone-b"},
		"regions":                  {"Regions", map[string]string{"zone-a": "north", "zone-b": "south"}},
		"log_level":                {"LogLevel", "warn"},
		"stop_within":              {"StopWithin", 9 * time.Second},
		"entry_interval":           {"EntryInterval", 1500 * time.Millisecond},
		"leaving_time":             {"LeavingTime", 4 * time.Second},
		"apply_within":             {"ApplyWithin", 5 * time.Second},
		"evacuate_within":          {"EvacuateWithin", 7 * time.Second},
		"retry_share":              {"RetryShare", 0.15},
		"retry_window":             {"RetryWindow", 12 * time.Second},
		"retry_slack":              {"RetrySlack", 17.4},
		"quota_window":             {"QuotaWindow", 6 * time.Second},
		"quota_overage":            {"QuotaExcessShare", 0.07},
		"quota_slack":              {"QuotaExcess", 12.5},
		"peer_address":             {"PeerAddress", "10.0.0.7:8083"},
		"peer_advertised_address":  {"PeerAdvertisedAddress", "192.168.0.7:8083"},
		"seeds":                    {"Seeds", []string{"10.0.0.1:8083", "10.0.0.2:8083"}},
		"connections_per_back_end": {"Connections", 6},
		"hedge_share":              {"HedgeShare", 0.4},
		"retry_pace":               {"RetryPace", 30 * time.Millisecond},
		"early_finish":             {"EarlyFinish", false},
		"maximum_requests":         {"MaximumRequests", 1500},
		"memory_mb":                {"MemoryMB", 284},
		"sibling_hedges":           {"SiblingHedges", false},
		"last_extras":              {"LastExtras", 3},
		"extras_by_need":           {"ExtrasByNeed", false},
		"lend_retry_slack":         {"LendRetrySlack", false},
		"subset_size":              {"SubsetSize", 5},
		"few_rest":                 {"FewRest", false},
		"share_connections":        {"ShareConnections", false},
		"young_part":               {"YoungPart", 4},
		"ejection":                 {"Ejection", false},
		"doubt":                    {"Doubt", false},
		"store_turns":              {"StoreTurns", false},
		"watchers_per_region":      {"Watchers", 2},
		"peer_copies":              {"PeerCopies", false},
		"prove_connections":        {"ProveConnections", false},
		"turn_away":                {"TurnAway", false},
		"priorities":               {"Priorities", false},
		"quarantine_rounds":        {"QuarantineRounds", 5},
		"quarantine_for":           {"QuarantineFor", 3 * time.Minute},
		"withdrawn_factor":         {"WithdrawnFactor", 1.5},
		"go_by_pace":               {"GoByPace", false},
		"reports":                  {"Reports", false},
		"shared_health":            {"SharedHealth", false},
		"far_price":                {"FarPrice", 0.3},
		"fault_price":              {"FaultPrice", 1.5},
		"linger":                   {noEffect, nil},
		"starting_hold":            {"StartingHold", 400 * time.Millisecond},
	})
}

// TestNodeFileCompatibility checks the settings file of a node as TestGatewayFileCompatibility checks that of a
// gateway.
func TestNodeFileCompatibility(t *testing.T) {
	loaded, err := LoadNode("testdata/node.yaml", nil)
	if err != nil {
		t.Fatal(err)
	}
	checkEffects(t, "testdata/node.yaml", loaded, DefaultNode(), map[string]effect{
		"http_address":             {"HTTPAddress", "10.0.0.7:7101"},
		"peer_address":             {"PeerAddress", "10.0.0.7:7201"},
		"advertised_address":       {"AdvertisedAddress", "192.168.0.7:7201"},
		"zone":                     {"Zone", "zone-b"},
		"region":                   {"Region", "south"},
		"seeds":                    {"Seeds", []string{"10.0.0.1:7201", "10.0.0.2:7201"}},
		"platform_url":             {"PlatformURL", "http://10.0.9.1:7900"},
		"log_level":                {"LogLevel", "debug"},
		"drain_timeout":            {"DrainTimeout", 20 * time.Second},
		"dispatchers_per_group":    {"Dispatchers", 2},
		"group_size":               {"GroupSize", 32},
		"relays_per_zone":          {"RelaysPerZone", 3},
		"maximum_queries":          {"MaximumQueries", 2048},
		"connections_per_back_end": {"Connections", 8},
		"hedging":                  {"Hedging", false},
		"hedge_share":              {"HedgeShare", 0.12},
		"retry_share":              {"RetryShare", 0.2},
		"queue_wait":               {"QueueWait", 40 * time.Millisecond},
		"probe_interval":           {"ProbeInterval", 2 * time.Second},
		"store_interval":           {"StoreInterval", 7 * time.Second},
	})
}

// effect is the value that a setting of the file gives to a field. The field is noEffect for a removed setting.
type effect struct {
	field string
	want  any
}

// checkEffects compares the settings loaded from a file with the expected effects, and checks that the file sets every
// exported field to another value than its default.
func checkEffects(t *testing.T, path string, loaded, defaults any, effects map[string]effect) {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	named := map[string]bool{}
	for line := range strings.SplitSeq(string(text), "\n") {
		if name, _, found := strings.Cut(line, ":"); found {
			named[name] = true
		}
	}
	fields := map[string]bool{}
	for name, effect := range effects {
		if !named[name] {
			t.Errorf("%s does not set %s", path, name)
		}
		if effect.field == noEffect {
			continue
		}
		fields[effect.field] = true
		got := reflect.ValueOf(loaded).FieldByName(effect.field).Interface()
		if !reflect.DeepEqual(got, effect.want) {
			t.Errorf("%s: %s is %v, want %v", name, effect.field, got, effect.want)
		}
		if reflect.DeepEqual(got, reflect.ValueOf(defaults).FieldByName(effect.field).Interface()) {
			t.Errorf("%s: %s has its default value, so that the test shows no effect of the setting", name, effect.field)
		}
	}
	for i := range reflect.TypeOf(loaded).NumField() {
		if field := reflect.TypeOf(loaded).Field(i); field.IsExported() && !fields[field.Name] {
			t.Errorf("no setting in %s sets the field %s", path, field.Name)
		}
	}
}
