package routing

import (
	"fmt"

	"stiletrail/internal/failure"
)

// check returns the first fault of a configuration, or nil.
func check(configuration *Configuration) error {
	if configuration.Version == 0 {
		return invalid("the configuration has version 0, want a positive version")
	}
	for i := range configuration.Routes {
		if err := checkRoute(&configuration.Routes[i]); err != nil {
			return err
		}
	}
	for _, service := range configuration.Services {
		if service.WarmupTime < 0 || service.WarmupRate < 0 {
			return invalid("service %q has a negative warm-up time or rate", service.Name)
		}
	}
	return nil
}

// CheckRegions returns an error for the first route or tenant that names an unknown region. Its code is
// INVALID_ARGUMENT. A node that used such a configuration would keep their requests from all back ends, or would not
// know where they must not go.
func (t *Table) CheckRegions(known func(name string) bool) error {
	for i := range t.configuration.Routes {
		route := &t.configuration.Routes[i]
		if unknown := route.Regions.Unknown(known); len(unknown) > 0 {
			return invalid("route %q names the unknown region %q", route.Name, unknown[0])
		}
	}
	for i := range t.configuration.Tenants {
		tenant := &t.configuration.Tenants[i]
		if unknown := tenant.Regions.Unknown(known); len(unknown) > 0 {
			return invalid("tenant %q names the unknown region %q", tenant.Name, unknown[0])
		}
	}
	return nil
}

// checkRoute returns the first fault of a route, or nil.
func checkRoute(route *Route) error {
	switch {
	case route.Host == "" || route.Prefix == "" || route.Prefix[0] != '/':
		return invalid("route %q must have a host, and a path prefix that starts with /", route.Name)
	case route.MaximumAttempts < 1:
		return invalid("route %q must allow at least 1 attempt", route.Name)
	case route.Timeout <= 0:
		return invalid("route %q must have a positive timeout", route.Name)
	case !route.FansOut() && len(route.Targets) == 0:
		return invalid("route %q has neither shards nor targets", route.Name)
	case route.FansOut() && !route.Repeatable:
		return invalid("route %q fans out requests that are not repeatable", route.Name)
	case route.MinimumCoverage < 0 || route.MinimumCoverage > 1:
		return invalid("route %q has a minimum coverage outside 0 to 1", route.Name)
	}
	return checkTargets(route)
}

// checkTargets returns the first fault of a route's targets or shards, or nil.
func checkTargets(route *Route) error {
	total := 0.0
	for _, target := range route.Targets {
		if target.Service == "" || target.Weight < 0 {
			return invalid("route %q has a target without a service or with a negative weight", route.Name)
		}
		total += target.Weight
	}
	if !route.FansOut() && total <= 0 {
		return invalid("route %q has no target with a positive weight", route.Name)
	}
	seen := map[string]bool{}
	for _, shard := range route.Shards {
		if shard == "" || seen[shard] {
			return invalid("route %q has a shard with an empty or duplicate name", route.Name)
		}
		seen[shard] = true
	}
	return nil
}

func invalid(format string, arguments ...any) error {
	return failure.New(failure.InvalidArgument, fmt.Sprintf(format, arguments...))
}
