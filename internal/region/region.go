// Package region decides whether a region belongs to a set, such as that in which the requests of a route may be served.
// It owns nothing and relies on nothing.
package region

import "slices"

// Set of regions, which is not changed once it is made. The zero value binds nothing: it allows every region.
type Set struct {
	names []string
}

// NewSet returns the set of some regions; without any it allows all.
func NewSet(names ...string) Set { return Set{names: slices.Clone(names)} }

// Restricted reports whether the set leaves any region out.
func (s Set) Restricted() bool { return len(s.names) > 0 }

// Allows reports whether a region is in the set. A place whose region is not known is in none.
func (s Set) Allows(name string) bool {
	return !s.Restricted() || slices.Contains(s.names, name)
}

// Unknown returns the regions of the set that are not known.
func (s Set) Unknown(known func(name string) bool) (unknown []string) {
	for _, name := range s.names {
		if !known(name) {
			unknown = append(unknown, name)
		}
	}
	return unknown
}
