package routing_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/failure"
	"stiletrail/internal/routing"
)

func route(name, prefix string, targets ...routing.Target) routing.Route {
	return routing.Route{Name: name, Host: "Host.example", Prefix: prefix, Timeout: time.Second, MaximumAttempts: 1, Targets: targets}
}

// TestMatch checks that a path gets the route with the longest prefix on its host, whatever the case of the host and
// whether it has a port.
func TestMatch(t *testing.T) {
	to := routing.Target{Service: "s", Weight: 1}
	table, err := routing.Compile(routing.Configuration{Version: 1, Routes: []routing.Route{
		route("root", "/", to), route("a", "/a/", to), route("ab", "/a/b/", to),
	}})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct{ host, path, want string }{
		{"host.example", "/x", "root"}, {"host.example", "/a/x", "a"}, {"HOST.example:80", "/a/b/x", "ab"},
		{"host.example", "/a/bx", "a"}, {"host.example", "/a", "root"}, {"other.example", "/a/x", ""},
	}
	for _, c := range cases {
		got := ""
		if found := table.Match(c.host, c.path); found != nil {
			got = found.Name
		}
		if got != c.want {
			t.Errorf("%s%s matches route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestCompileRejects checks that Compile rejects each invalid configuration with INVALID_ARGUMENT.
func TestCompileRejects(t *testing.T) {
	to := routing.Target{Service: "s", Weight: 1}
	change := func(edit func(*routing.Route)) routing.Configuration {
		r := route("r", "/", to)
		edit(&r)
		return routing.Configuration{Version: 1, Routes: []routing.Route{r}}
	}
	cases := map[string]routing.Configuration{
		"no version":               {},
		"no host":                  change(func(r *routing.Route) { r.Host = "" }),
		"invalid prefix":           change(func(r *routing.Route) { r.Prefix = "x" }),
		"no attempts":              change(func(r *routing.Route) { r.MaximumAttempts = 0 }),
		"no timeout":               change(func(r *routing.Route) { r.Timeout = 0 }),
		"no service":               change(func(r *routing.Route) { r.Targets = nil }),
		"a target without name":    change(func(r *routing.Route) { r.Targets[0].Service = "" }),
		"a negative weight":        change(func(r *routing.Route) { r.Targets[0].Weight = -1 }),
		"no positive weight":       change(func(r *routing.Route) { r.Targets[0].Weight = 0 }),
		"fans out, not repeatable": change(func(r *routing.Route) { r.Shards = []string{"a"} }),
		"duplicate shard":          change(func(r *routing.Route) { r.Shards, r.Repeatable = []string{"a", "a"}, true }),
		"coverage over 1":          change(func(r *routing.Route) { r.MinimumCoverage = 1.1 }),
	}
	for name, configuration := range cases {
		if _, err := routing.Compile(configuration); failure.CodeOf(err) != failure.InvalidArgument {
			t.Errorf("%s: got error %v, want INVALID_ARGUMENT", name, err)
		}
	}
}

// TestRequiredShards checks the smallest number of shards that is not below the minimum coverage. Products that are
// exact in decimal, such as 0.9 of 10 shards, must not be rounded up.
func TestRequiredShards(t *testing.T) {
	cases := []struct {
		share    float64
		shards   int
		required int
	}{{0.9, 10, 9}, {0.89, 10, 9}, {0.89, 15, 14}, {0.75, 15, 12}, {0.75, 10, 8}, {0, 5, 1}, {1, 3, 3}, {0.6, 5, 3}, {0.7, 10, 7}}
	for _, c := range cases {
		r := routing.Route{Shards: make([]string, c.shards), MinimumCoverage: c.share}
		if got := r.RequiredShards(); got != c.required {
			t.Errorf("minimum coverage %v of %d shards: %d required, want %d", c.share, c.shards, got, c.required)
		}
	}
}

// TestSplitKeepsWeights checks that after any number of requests the share of each target differs from its weight by
// no more than one request for each target.
func TestSplitKeepsWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 4).Draw(rt, "weights")
		var targets []routing.Target
		total := 0
		for i, weight := range weights {
			targets = append(targets, routing.Target{Service: string(rune('a' + i)), Weight: float64(weight)})
			total += weight
		}
		if total == 0 {
			return
		}
		r := route("r", "/", targets...)
		splitter := routing.NewSplitter()
		counts := map[string]int{}
		requests := rapid.IntRange(1, 300).Draw(rt, "requests")
		for range requests {
			counts[splitter.Next(&r)]++
		}
		for _, target := range targets {
			want := target.Weight / float64(total) * float64(requests)
			if len(targets) > 1 && math.Abs(float64(counts[target.Service])-want) > float64(len(targets)) {
				rt.Fatalf("target %s got %d of %d requests, want %.1f within one request for each target", target.Service, counts[target.Service], requests, want)
			}
		}
	})
}
