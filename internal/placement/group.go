package placement

import (
	"slices"
	"strconv"
)

// placed is a group with its owners.
type placed struct {
	group Group
	// key of the group in the hashing.
	key string
	// dispatchers share the slots; limit counts the deputies too.
	dispatchers int
	limit       int
	owners      []scoredMember
	// previous are the owners before the last changes: they serve on while others learn of a change.
	previous []scoredMember
}

func newPlaced(group Group, settings Settings) *placed {
	p := &placed{group: group, key: group.Service + "/" + strconv.Itoa(int(group.Number)), dispatchers: settings.Dispatchers}
	for _, backEnd := range group.BackEnds {
		// Each dispatcher holds a slot of each back end.
		p.dispatchers = min(p.dispatchers, max(1, backEnd.Slots))
	}
	p.limit = p.dispatchers + settings.Standbys
	return p
}

// previousKept is how many earlier owners of a group are remembered.
const previousKept = 4

// keepPrevious keeps the present owners among the previous ones; call it before they change.
func (p *placed) keepPrevious() {
	kept := slices.Clone(p.owners)
	for _, earlier := range p.previous {
		if !slices.Contains(kept, earlier) {
			kept = append(kept, earlier)
		}
	}
	p.previous = kept[:min(len(kept), previousKept)]
}
