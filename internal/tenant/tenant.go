// Package tenant decides on whose behalf a request is sent: it finds the tenant that holds the key of a caller.
//
// It owns the types of tenants and keys, and the Directory of one version of the configuration (package routing), in which
// tenants do not change. The package does no I/O, reads no clock and takes no lock.
package tenant

import "stiletrail/internal/region"

// Tenant is a customer whose callers share keys, a priority and a limit.
type Tenant struct {
	// Name identifies the tenant. Back ends are told the name.
	Name string
	// Keys are the keys of the tenant's callers. It may be empty, which lets nobody in.
	Keys []Key
	// Priority is the rank of the tenant's requests, with 0 the highest. It takes precedence over the priority of a
	// route. It is nil if the tenant has none of its own.
	Priority *int
	// Rate is the number of requests per second that the tenant may send to all nodes together, and Burst the number
	// beyond that in a window. Without a Rate there is no limit.
	Rate  float64
	Burst float64
	// Regions are those in which the tenant's requests may be served, as far as the route allows them too.
	Regions region.Set
}
