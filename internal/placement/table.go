package placement

import (
	"slices"

	"stiletrail/internal/catalog"
	"stiletrail/internal/membership"
)

// Table keeps the owners of all groups as members and documents come and go. A member that appears costs one hash per
// group; one that goes costs a new ranking only for the groups it owned.
type Table struct {
	settings Settings
	// usable are the members that may own groups with their regions; regions are the same, by region.
	usable   map[string]string
	regions  map[string]map[string]bool
	services map[string]*serviceGroups
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{
		settings: settings, usable: map[string]string{}, regions: map[string]map[string]bool{},
		services: map[string]*serviceGroups{},
	}
}

type serviceGroups struct {
	version uint64
	groups  []*placed
}

// SetMembers takes in the current view of the members and reports whether any group changed owners.
func (t *Table) SetMembers(members []membership.Member) bool {
	changed := false
	present := make(map[string]bool, len(members))
	for _, member := range members {
		if !member.Usable() {
			continue
		}
		present[member.Address] = true
		if region, known := t.usable[member.Address]; !known || region != member.Region {
			changed = t.add(member) || changed
		}
	}
	var gone []string
	for address := range t.usable {
		if !present[address] {
			gone = append(gone, address)
		}
	}
	slices.Sort(gone)
	for _, address := range gone {
		changed = t.remove(address) || changed
	}
	return changed
}

func (t *Table) add(member membership.Member) bool {
	if _, known := t.usable[member.Address]; known {
		t.remove(member.Address)
	}
	first := len(t.regions[member.Region]) == 0
	if t.regions[member.Region] == nil {
		t.regions[member.Region] = map[string]bool{}
	}
	t.regions[member.Region][member.Address] = true
	t.usable[member.Address] = member.Region
	changed := false
	t.each(func(p *placed) {
		if p.group.Region != member.Region && len(t.regions[p.group.Region]) > 0 {
			return
		}
		if first {
			// Until now members of other regions stood in.
			t.rank(p)
			changed = true
			return
		}
		candidate := scoreOf(p.key, member.Address)
		place, _ := slices.BinarySearchFunc(p.owners, candidate, compareScored)
		if place >= p.limit {
			return
		}
		p.keepPrevious()
		p.owners = slices.Insert(p.owners, place, candidate)
		p.owners = p.owners[:min(len(p.owners), p.limit)]
		changed = true
	})
	return changed
}

func (t *Table) remove(address string) bool {
	region := t.usable[address]
	delete(t.usable, address)
	delete(t.regions[region], address)
	changed := false
	t.each(func(p *placed) {
		if slices.ContainsFunc(p.owners, func(m scoredMember) bool { return m.address == address }) {
			t.rank(p)
			changed = true
		}
	})
	return changed
}

func (t *Table) each(visit func(*placed)) {
	for _, service := range t.services {
		for _, p := range service.groups {
			visit(p)
		}
	}
}

// rank computes the owners of a group from the members of its region, or from all where there are none.
func (t *Table) rank(p *placed) {
	var all []scoredMember
	for address := range t.regions[p.group.Region] {
		all = append(all, scoreOf(p.key, address))
	}
	if len(all) == 0 {
		for address := range t.usable {
			all = append(all, scoreOf(p.key, address))
		}
	}
	p.keepPrevious()
	p.owners = slices.Clone(highest(all, p.limit))
}

// SetDocument takes in a document.
func (t *Table) SetDocument(document catalog.Document) {
	if document.Deleted {
		delete(t.services, document.Service)
		return
	}
	service := &serviceGroups{version: document.Version}
	for _, group := range Groups(document, t.settings) {
		p := newPlaced(group, t.settings)
		t.rank(p)
		service.groups = append(service.groups, p)
	}
	t.services[document.Service] = service
}
