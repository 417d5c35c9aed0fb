package placement

import (
	"slices"
	"strconv"
)

// placedGroup is a group with its owners.
type placedGroup struct {
	group Group
	// key is hashed together with a member's address to get the member's score for this group.
	key string
	// dispatchers is the number of owners that share the slots of the back ends. limit is the number of all owners,
	// standbys included.
	dispatchers int
	limit       int
	// owners has the owners by falling score: the dispatchers first, then the standbys.
	owners []scoredMember
	// previous has the owners before the last changes. They go on serving the group until all nodes know of a change.
	previous []scoredMember
}

func newPlacedGroup(group Group, settings Settings) *placedGroup {
	p := &placedGroup{group: group, key: group.Service + "/" + strconv.Itoa(int(group.Number)), dispatchers: settings.Dispatchers}
	for _, backEnd := range group.BackEnds {
		// Each dispatcher needs at least one slot of each back end.
		p.dispatchers = min(p.dispatchers, max(1, backEnd.Slots))
	}
	p.limit = p.dispatchers + settings.Standbys
	return p
}

// maximumPrevious is the number of previous owners that a group remembers at most.
const maximumPrevious = 4

// rememberOwners adds the present owners to the previous ones. It must be called before the owners change.
func (p *placedGroup) rememberOwners() {
	previous := slices.Clone(p.owners)
	for _, earlier := range p.previous {
		if !slices.Contains(previous, earlier) {
			previous = append(previous, earlier)
		}
	}
	p.previous = previous[:min(len(previous), maximumPrevious)]
}
