// Package region decides whether a region belongs to a set, such as the regions in which the requests of a route may
// be served. It owns no state and relies on no other package.
package region

import "slices"

// Set is an immutable set of regions. The zero value is unrestricted: it allows every region.
type Set struct {
	names []string
	// empty is set if the set excludes every region.
	empty bool
}

// NewSet returns the set of the named regions. Without names, the set allows every region.
func NewSet(names ...string) Set { return Set{names: slices.Clone(names)} }

// Restricted reports whether the set excludes any region.
func (s Set) Restricted() bool { return s.empty || len(s.names) > 0 }

// Intersect returns the set of the regions that both sets allow. It may exclude every region.
func (s Set) Intersect(other Set) Set {
	if !s.Restricted() {
		return other
	}
	if !other.Restricted() {
		return s
	}
	var common []string
	for _, name := range s.names {
		if other.Allows(name) {
			common = append(common, name)
		}
	}
	return Set{names: common, empty: len(common) == 0}
}

// Allows reports whether a region is in the set. An empty name stands for an unknown region, which only an
// unrestricted set allows.
func (s Set) Allows(name string) bool {
	return !s.Restricted() || slices.Contains(s.names, name)
}

// Unknown returns the regions of the set for which known returns false.
func (s Set) Unknown(known func(name string) bool) (unknown []string) {
	for _, name := range s.names {
		if !known(name) {
			unknown = append(unknown, name)
		}
	}
	return unknown
}
