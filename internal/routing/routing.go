// Package routing decides which route a request takes and to which service it goes if the route splits its traffic.
// It also decides whether a configuration may be put in force at all.
//
// It owns a Table, which is an immutable version of the configuration. A request takes a Table when it arrives and
// uses it until it ends, so that no request mixes two versions. A Splitter holds the state of the traffic splits
// across versions. The package does no I/O, reads no clock and takes no lock.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/region"
	"stiletrail/internal/tenant"
)

// Configuration is one version of what an operator configures. It does not change after Compile.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Tenants are the customers whose callers may send requests to routes that are not public. Without tenants every
	// caller may.
	Tenants []tenant.Tenant
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
	// MaximumConnections is the number of connections that one back end of the service accepts from all nodes
	// together.
	MaximumConnections int
	// HealthPath is the path at which a back end reports its health.
	HealthPath string
	// WarmupTime is how long a back end is cold after its start, or after a long time without requests.
	WarmupTime clock.Ms
	// WarmupRate is the number of requests per second that a cold back end may get from all nodes together; 0 means
	// no bound.
	WarmupRate float64
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Route says where the requests of a host and path prefix go, and how they are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeatable is set if the requests of the route may run more than once.
	Repeatable bool
	// Timeout is how long a request is held at most, even if its caller allows more.
	Timeout time.Duration
	// TargetLatency is the time within which a request should be answered.
	TargetLatency time.Duration
	// MaximumAttempts is the largest number of back ends that a request is sent to at each shard.
	MaximumAttempts int
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// Public is set if callers need no key.
	Public bool
	// Shards are the services that a request fans out to. It is empty for a route to a single back end.
	Shards []string
	// MinimumCoverage is the smallest share of the shards, from 0 to 1, that must answer.
	MinimumCoverage float64
	// MaximumRecords is the largest number of records in the merged answer of the shards.
	MaximumRecords int
	// Targets divide the requests of a route without Shards by their weights.
	Targets []Target
	// Regions are those in which the route's requests may be served, cached and stored.
	Regions region.Set
}

// FansOut reports whether requests go to all shards and not to a single back end.
func (r *Route) FansOut() bool { return len(r.Shards) > 0 }

// WithinRegions returns the route for requests that may be served in some regions only. It is the route itself if they are
// not restricted.
func (r *Route) WithinRegions(regions region.Set) *Route {
	if !regions.Restricted() {
		return r
	}
	within := *r
	within.Regions = r.Regions.Intersect(regions)
	return &within
}

// RequiredShards returns the smallest number of shards that must answer.
func (r *Route) RequiredShards() int {
	// The tolerance prevents a product such as 0.9 × 10 from being rounded up.
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
	// byHost has the routes of each host, longest prefix first.
	byHost map[string][]*Route
	// prioritized is set if requests of different priority, or of tenants, may compete for the same back ends.
	prioritized bool
	// tenants finds the tenant that holds a key.
	tenants *tenant.Directory
}

// Compile checks a configuration and builds its table. The error has code INVALID_ARGUMENT and names the first fault.
func Compile(configuration Configuration) (*Table, error) {
	if err := check(&configuration); err != nil {
		return nil, err
	}
	tenants, err := tenant.NewDirectory(configuration.Tenants)
	if err != nil {
		return nil, err
	}
	table := &Table{configuration: configuration, byHost: map[string][]*Route{}, tenants: tenants, prioritized: prioritized(&configuration)}
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

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.configuration.Version }

// Limits returns the limits of the configuration.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// Tenants returns the directory of the tenants of the configuration.
func (t *Table) Tenants() *tenant.Directory { return t.tenants }

// HasRoute reports whether there is a route with this name.
func (t *Table) HasRoute(name string) bool {
	return slices.ContainsFunc(t.configuration.Routes, func(r Route) bool { return r.Name == name })
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.configuration.Routes) }

// Services returns the services of the configuration.
func (t *Table) Services() []Service { return t.configuration.Services }

// Match returns the route on a host with the longest prefix of the path, or nil. A port in the host is ignored.
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
