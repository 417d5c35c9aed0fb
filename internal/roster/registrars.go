package roster

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/membership"
)

// groupSize is about the number of nodes of a record. Each change of one of them is sent to all nodes with the whole record, and
// each record costs the store a renewal every few seconds.
const groupSize = 32

// registrars tells which node lists which.
type registrars struct {
	groups map[string]uint64
	// lowest is the running node with the lowest address of all, lowestIn that of each region and of each group of a region.
	lowest   string
	lowestIn map[group]string
}

// group is a group of nodes of a region. Number anyGroup stands for all groups of the region.
type group struct {
	region string
	number uint64
}

const anyGroup = ^uint64(0)

// newRegistrars finds the registrars among members, which are in the order of their addresses.
func newRegistrars(members []membership.Member) *registrars {
	r := &registrars{groups: map[string]uint64{}, lowestIn: map[group]string{}}
	inRegion := map[string]uint64{}
	for _, m := range members {
		inRegion[m.Region]++
	}
	for region, count := range inRegion {
		r.groups[region] = (count + groupSize - 1) / groupSize
	}
	for _, m := range members {
		if m.State != membership.Alive {
			continue
		}
		r.lowest = cmp.Or(r.lowest, m.Address)
		for _, g := range []group{r.groupOf(m.Address, m.Region), {m.Region, anyGroup}} {
			r.lowestIn[g] = cmp.Or(r.lowestIn[g], m.Address)
		}
	}
	return r
}

func (r *registrars) groupOf(address, region string) group {
	return group{region, xxhash.Sum64String(address) % max(r.groups[region], 1)}
}

// of returns the address of the registrar of a node.
func (r *registrars) of(address, region string) string {
	return cmp.Or(r.lowestIn[r.groupOf(address, region)], r.lowestIn[group{region, anyGroup}], r.lowest)
}
