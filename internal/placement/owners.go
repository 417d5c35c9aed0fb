package placement

import (
	"cmp"
	"slices"
)

// Groups returns the groups of a service, or nil if the table has no such service.
func (t *Table) Groups(service string) []Group {
	found := t.services[service]
	if found == nil {
		return nil
	}
	groups := make([]Group, 0, len(found.groups))
	for _, p := range found.groups {
		groups = append(groups, p.group)
	}
	return groups
}

// Owners returns the addresses of the nodes that dispatch to a group, and of its standbys, each by falling score.
func (t *Table) Owners(service string, number uint32) (dispatchers, standbys []string) {
	p := t.group(service, number)
	if p == nil {
		return nil, nil
	}
	owners := addressesOf(p.owners)
	split := min(len(owners), p.dispatchers)
	return owners[:split], owners[split:]
}

// PreviousOwners returns the addresses of the nodes that owned a group before its last changes, the latest first.
func (t *Table) PreviousOwners(service string, number uint32) []string {
	p := t.group(service, number)
	if p == nil {
		return nil
	}
	return addressesOf(p.previous)
}

// group returns the group of a service with the given number, or nil if there is none.
func (t *Table) group(service string, number uint32) *placedGroup {
	found := t.services[service]
	if found == nil || int(number) >= len(found.groups) {
		return nil
	}
	return found.groups[number]
}

// Ownership describes a group that a node owns.
type Ownership struct {
	Group Group
	// Version is the version of the service's document that the group comes from.
	Version uint64
	// Rank is the node's position among the owners, from zero. Owners with a rank below Dispatchers dispatch to the
	// group; the others are standbys.
	Rank int
	// Dispatchers is the number of nodes that dispatch to the group.
	Dispatchers int
}

// OwnedBy returns the groups that a node owns, ordered by service and number.
func (t *Table) OwnedBy(address string) []Ownership {
	var owned []Ownership
	for _, service := range t.services {
		for _, p := range service.groups {
			rank := slices.IndexFunc(p.owners, func(m scoredMember) bool { return m.address == address })
			if rank >= 0 {
				owned = append(owned, Ownership{
					Group: p.group, Version: service.version, Rank: rank, Dispatchers: min(p.dispatchers, len(p.owners)),
				})
			}
		}
	}
	slices.SortFunc(owned, func(a, b Ownership) int {
		return cmp.Or(cmp.Compare(a.Group.Service, b.Group.Service), cmp.Compare(a.Group.Number, b.Group.Number))
	})
	return owned
}
