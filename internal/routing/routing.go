// Package routing decides which route a request takes and, where that splits its requests, to which service each goes;
// and whether a configuration may be put in force at all.
//
// It owns a Table, an immutable version of the configuration: a request takes one when it arrives and keeps it to its
// end, so that nothing it does mixes two versions. A Splitter has the state of the splits over all versions. It relies on
// nothing: no I/O, clock or lock.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/region"
)

// Configuration is everything an operator states, as one version. It is never changed after it was compiled.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Limits bound what a caller may send. Sizes are in bytes.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a set of interchangeable back ends.
type Service struct {
	Name string
	// MaximumConnections a back end of the service takes from all nodes together.
	MaximumConnections int
	// HealthPath answers whether a back end is well.
	HealthPath string
	// WarmupTime is how long a back end is cold after its start, or when it has got nothing for long.
	WarmupTime clock.Ms
	// WarmupRate is the number of requests a second that a cold back end bears from all nodes together; 0 where that is not
	// bounded.
	WarmupRate float64
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Route says where the requests of a host and path prefix go, and with what tolerance.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Timeout is the longest a request is held, whatever its caller allows.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is worth most.
	TargetLatency time.Duration
	// MaximumAttempts is the largest number of back ends a request is sent to, per shard.
	MaximumAttempts int
	// Priority is the rank, 0 being the highest.
	Priority int
	// Shards are the services a request fans out to; empty for a request to a single back end.
	Shards []string
	// MinimumCoverage is the smallest share of the shards an answer may be made of.
	MinimumCoverage float64
	// MaximumRecords is the number of records in a gathered answer.
	MaximumRecords int
	// Targets share the requests of a route without Shards by their weights.
	Targets []Target
	// Regions in which its requests may be served, cached and kept.
	Regions region.Set
}

// FansOut reports whether requests go to all shards and not to a single back end.
func (r *Route) FansOut() bool { return len(r.Shards) > 0 }

// RequiredShards is the smallest number of shards an answer may be made of.
func (r *Route) RequiredShards() int {
	// The tolerance keeps a product such as 0.9 × 10 from being rounded up.
	const tolerance = 1e-9
	required := int(r.MinimumCoverage * float64(len(r.Shards)))
	if float64(required) < r.MinimumCoverage*float64(len(r.Shards))-tolerance {
		required++
	}
	return max(required, 1)
}

// Table finds routes in a compiled Configuration. It is safe for concurrent use.
type Table struct {
	configuration Configuration
	// byHost has the routes of a host, longest prefix first.
	byHost map[string][]*Route
}

// Compile checks a configuration and builds its table. The failure, of code INVALID_ARGUMENT, names the first fault.
func Compile(configuration Configuration) (*Table, error) {
	if err := check(&configuration); err != nil {
		return nil, err
	}
	table := &Table{configuration: configuration, byHost: map[string][]*Route{}}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return table, nil
}

// Version of the configuration.
func (t *Table) Version() uint64 { return t.configuration.Version }

// Limits of the configuration.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// HasRoute reports whether there is a route of a name.
func (t *Table) HasRoute(name string) bool {
	return slices.ContainsFunc(t.configuration.Routes, func(r Route) bool { return r.Name == name })
}

// RouteCount is the number of routes.
func (t *Table) RouteCount() int { return len(t.configuration.Routes) }

// Services of the configuration.
func (t *Table) Services() []Service { return t.configuration.Services }

// Match returns the route with the longest prefix of the path on a host, or nil. A port in the host is ignored.
func (t *Table) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
