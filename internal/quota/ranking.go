package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/clock"
)

const (
	// halves is the number of parts into which the candidates of a group are divided.
	halves = 2
	// takeOverAfter is how long a member must have been away until another node takes over its pools.
	takeOverAfter = 60 * clock.Second
	// shrinkAfter is how long members must have been away until accountants lend only the part of their pools that
	// corresponds to the members that are left. It is less than takeOverAfter by more than the nodes differ in when they
	// notice that a member is away, so that both sides of a cut lend less before each takes over the pools of the other.
	shrinkAfter = 20 * clock.Second
)

// Member is a node that may borrow and lend tokens.
type Member struct {
	Address string
	Zone    string
	Region  string
	// Usable is false for members that are away. They are members still, since they may have tokens and may return.
	Usable bool
	// Lost is set for a member that is away and that the store does not list as running. It is gone, or it reaches neither
	// the other nodes nor the store.
	Lost bool
}

// candidate is a member that can be the accountant of a pool.
type candidate struct {
	address string
	hash    uint64
	lost    bool
}

// ranking decides which member is the accountant of a pool.
type ranking struct {
	// version numbers the rankings of a node. It is 0 for none.
	version uint64
	// since is when the ranking took effect.
	since clock.Ms
	// groups holds the candidates by region or, if there is one region only, by zone.
	groups [][]candidate
	// regions holds the region of each candidate.
	regions map[string]string
}

// newRanking ranks the members that have not been away for too long.
func newRanking(now clock.Ms, members []Member, awaySince map[string]clock.Ms) ranking {
	r := ranking{since: now, regions: map[string]string{}}
	kept := slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		since, away := awaySince[m.Address]
		return away && now-since >= takeOverAfter
	})
	slices.SortFunc(kept, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	byRegion, byZone := map[string][]candidate{}, map[string][]candidate{}
	for _, m := range kept {
		c := candidate{address: m.Address, hash: hashOf(m.Address), lost: m.Lost}
		byRegion[m.Region] = append(byRegion[m.Region], c)
		byZone[m.Zone] = append(byZone[m.Zone], c)
		r.regions[m.Address] = m.Region
	}
	groups := byRegion
	if len(byRegion) == 1 {
		groups = byZone
	}
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		r.groups = append(r.groups, groups[name])
	}
	return r
}

func hashOf(address string) uint64 { return xxhash.Sum64String(address) }

// owner returns the address of the accountant of a pool, or an empty string if there is no candidate. It is the one with
// the highest score of its group (rendezvous hashing), so a new candidate takes over its part of the pools and moves no
// others. Two pools that fall to the same group are divided between the halves of the group, so that the loss of one node
// does not take both. If the accountant is lost, it is the candidate that acts for it.
func (r *ranking) owner(key LimitID, pool uint8) string {
	address, _ := r.assigned(key, pool)
	return address
}

// assigned returns the owner of a pool, and whether it acts for a lost accountant.
func (r *ranking) assigned(key LimitID, pool uint8) (address string, substitute bool) {
	groups := uint64(len(r.groups))
	if groups == 0 {
		return "", false
	}
	group := r.groups[(uint64(key)%groups+uint64(pool))%groups]
	half := (uint64(key)/groups + uint64(pool)/groups) % halves
	best := highest(group, key, pool, func(c candidate) bool { return mix(c.hash)%halves == half })
	if best.address == "" {
		best = highest(group, key, pool, func(candidate) bool { return true })
	}
	if !best.lost {
		return best.address, false
	}
	return r.substituteIn(group, key, pool), true
}

// substituteIn returns the address of the candidate that acts for a lost accountant: one of its group, if that has any.
func (r *ranking) substituteIn(group []candidate, key LimitID, pool uint8) string {
	running := func(c candidate) bool { return !c.lost }
	if best := highest(group, key, pool, running); best.address != "" {
		return best.address
	}
	return highest(slices.Concat(r.groups...), key, pool, running).address
}

// highest returns the candidate with the highest score for a pool among those that match.
func highest(group []candidate, key LimitID, pool uint8, match func(candidate) bool) (best candidate) {
	highest := uint64(0)
	for _, c := range group {
		if !match(c) {
			continue
		}
		if score := mix(c.hash ^ mix(uint64(key)+uint64(pool))); best.address == "" || score > highest {
			best, highest = c, score
		}
	}
	return best
}

// sameCandidates reports whether two rankings have the same candidates, and so the same owners.
func (r *ranking) sameCandidates(other *ranking) bool {
	return slices.EqualFunc(r.groups, other.groups, func(a, b []candidate) bool { return slices.Equal(a, b) })
}

// mix returns a hash of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
