package gateway

import (
	"stiletrail/internal/forward"
	"stiletrail/internal/routing"
)

// authenticate finds the tenant that holds the key of a call, in the same version of the configuration as the call's route.
// It returns an answer if the call needs a tenant and has none. A caller does not come back after UNAUTHENTICATED, so while
// a version that this node does not know may have the key, the caller is told to come back.
func (g *Gateway) authenticate(call *Call, table *routing.Table, route *routing.Route) *forward.Answer {
	tenants := table.Tenants()
	if tenants.Empty() {
		return nil
	}
	call.TenantsConfigured = true
	if route.Public {
		return nil
	}
	call.Tenant = tenants.Find(call.Key)
	if call.Tenant != nil {
		return nil
	}
	reason := forward.UnknownKey
	if call.Key.IsZero() {
		reason = forward.NoKey
	}
	// Another version may have come into force since the call took the table.
	if g.mayLackVersion() || g.table.Load() != table {
		return refuseUnconfirmed(reason)
	}
	return failUnauthenticated(reason)
}

// mayLackVersion reports whether this node may have missed a version of the configuration: its copy of the store is stale, or
// the store was restored from a backup and may have lost one.
func (g *Gateway) mayLackVersion() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	return g.storeCopy.stale(now) || g.storeCopy.records.RewriteRemaining(now) > 0
}

// priority returns the rank of a call on its route, with 0 the highest. That of the tenant takes precedence.
func (c *Call) priority(route *routing.Route) int {
	if c.Tenant != nil && c.Tenant.Priority != nil {
		return *c.Tenant.Priority
	}
	return route.Priority
}
