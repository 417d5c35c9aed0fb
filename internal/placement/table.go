package placement

import (
	"slices"

	"stiletrail/internal/catalog"
	"stiletrail/internal/membership"
)

// Table has the owners of all groups and updates them when members or documents change. A new member takes one hash
// computation per group. After a member has departed, only the groups that it owned are ranked again.
type Table struct {
	settings Settings
	// usable has the region of each member that may own groups, by the member's address.
	usable map[string]string
	// regions has the addresses of the same members by region.
	regions map[string]map[string]bool
	// services has the groups of each service by its name.
	services map[string]*serviceGroups
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{
		settings: settings, usable: map[string]string{}, regions: map[string]map[string]bool{},
		services: map[string]*serviceGroups{},
	}
}

// serviceGroups has the groups of a service, made from the document of the given version.
type serviceGroups struct {
	version uint64
	groups  []*placedGroup
}

// SetMembers updates the table to the current view of the members and reports whether the owners of any group changed.
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
	var departed []string
	for address := range t.usable {
		if !present[address] {
			departed = append(departed, address)
		}
	}
	slices.Sort(departed)
	for _, address := range departed {
		changed = t.remove(address) || changed
	}
	return changed
}

func (t *Table) add(member membership.Member) bool {
	if _, known := t.usable[member.Address]; known {
		t.remove(member.Address)
	}
	firstOfRegion := len(t.regions[member.Region]) == 0
	if t.regions[member.Region] == nil {
		t.regions[member.Region] = map[string]bool{}
	}
	t.regions[member.Region][member.Address] = true
	t.usable[member.Address] = member.Region
	changed := false
	t.forEach(func(p *placedGroup) {
		if p.group.Region != member.Region && len(t.regions[p.group.Region]) > 0 {
			return
		}
		if firstOfRegion {
			// Members of other regions owned the group until now, because its region had no usable member.
			t.rank(p)
			changed = true
			return
		}
		candidate := scoreOf(p.key, member.Address)
		position, _ := slices.BinarySearchFunc(p.owners, candidate, compareScored)
		if position >= p.limit {
			return
		}
		p.rememberOwners()
		p.owners = slices.Insert(p.owners, position, candidate)
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
	t.forEach(func(p *placedGroup) {
		if slices.ContainsFunc(p.owners, func(m scoredMember) bool { return m.address == address }) {
			t.rank(p)
			changed = true
		}
	})
	return changed
}

func (t *Table) forEach(visit func(*placedGroup)) {
	for _, service := range t.services {
		for _, p := range service.groups {
			visit(p)
		}
	}
}

// rank computes the owners of a group from the usable members of its region, or from all usable members if the region
// has none.
func (t *Table) rank(p *placedGroup) {
	var all []scoredMember
	for address := range t.regions[p.group.Region] {
		all = append(all, scoreOf(p.key, address))
	}
	if len(all) == 0 {
		for address := range t.usable {
			all = append(all, scoreOf(p.key, address))
		}
	}
	p.rememberOwners()
	p.owners = slices.Clone(highestScored(all, p.limit))
}

// SetDocument replaces the groups of a service by those of the document, or removes them if the service is deleted.
func (t *Table) SetDocument(document catalog.Document) {
	if document.Deleted {
		delete(t.services, document.Service)
		return
	}
	service := &serviceGroups{version: document.Version}
	for _, group := range Groups(document, t.settings) {
		p := newPlacedGroup(group, t.settings)
		t.rank(p)
		service.groups = append(service.groups, p)
	}
	t.services[document.Service] = service
}
