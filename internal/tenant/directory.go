package tenant

import (
	"fmt"
	"hash/maphash"
	"math"
	"strings"

	"stiletrail/internal/failure"
)

// Directory finds the tenant that holds a key. It does not change, and is safe for concurrent use.
//
// Keys are found by a hash under a random seed, so that neither the time of a look-up nor a choice of keys that collide
// tells a caller anything about the keys of others.
type Directory struct {
	tenants []Tenant
	seed    maphash.Seed
	// holders are the keys, with the tenants that hold them, by the hash of the key.
	holders map[uint64][]holder
}

// holder is a key and the tenant that holds it.
type holder struct {
	key    Key
	tenant *Tenant
}

// NewDirectory checks the tenants of a configuration and builds their directory. The error has code INVALID_ARGUMENT and
// names the tenants at fault, never a key.
func NewDirectory(tenants []Tenant) (*Directory, error) {
	d := &Directory{tenants: tenants, seed: maphash.MakeSeed(), holders: map[uint64][]holder{}}
	names := make(map[string]bool, len(tenants))
	for i := range tenants {
		t := &tenants[i]
		if err := check(t); err != nil {
			return nil, err
		}
		if names[t.Name] {
			return nil, invalid("two tenants have the name %q", t.Name)
		}
		names[t.Name] = true
		if err := d.add(t); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// check returns the first fault of a tenant by itself, or nil.
func check(t *Tenant) error {
	switch {
	case t.Name == "":
		return invalid("a tenant has no name")
	case !isHeaderValue(t.Name):
		return invalid("the name of tenant %q has a control character, or a space at an end", t.Name)
	case !isAmount(t.Rate):
		return invalid("tenant %q has a rate that is negative or no finite number", t.Name)
	case !isAmount(t.Burst):
		return invalid("tenant %q has a burst that is negative or no finite number", t.Name)
	}
	return nil
}

// isHeaderValue reports whether back ends can be told a name in a header and receive the same name.
func isHeaderValue(name string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return strings.TrimSpace(name) == name && !strings.ContainsFunc(name, isControl)
}

// isAmount reports whether a rate or burst is a finite number of requests. NaN is none.
func isAmount(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }

// add enters the keys of a tenant. A key that the tenant lists twice is entered once.
func (d *Directory) add(t *Tenant) error {
	for _, key := range t.Keys {
		if key.IsZero() {
			return invalid("tenant %q has an empty key", t.Name)
		}
		other := d.Find(key)
		if other == t {
			continue
		}
		if other != nil {
			return invalid("tenants %q and %q have a key in common", other.Name, t.Name)
		}
		hash := d.hash(key)
		d.holders[hash] = append(d.holders[hash], holder{key, t})
	}
	return nil
}

func (d *Directory) hash(key Key) uint64 { return maphash.String(d.seed, *key.text) }

// All returns all tenants. The caller must not change them.
func (d *Directory) All() []Tenant { return d.tenants }

// Empty reports whether there are no tenants, so that no key is asked for.
func (d *Directory) Empty() bool { return len(d.tenants) == 0 }

// Find returns the tenant that holds a key, or nil.
func (d *Directory) Find(key Key) *Tenant {
	if key.IsZero() {
		return nil
	}
	for _, h := range d.holders[d.hash(key)] {
		if h.key.Equal(key) {
			return h.tenant
		}
	}
	return nil
}

func invalid(format string, arguments ...any) error {
	return failure.New(failure.InvalidArgument, fmt.Sprintf(format, arguments...))
}
