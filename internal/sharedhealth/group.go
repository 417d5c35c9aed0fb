package sharedhealth

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// collectorsPerGroup is the number of collectors of a group. Each gets all counts.
	collectorsPerGroup = 2
	// maximumGroup is the number of nodes that send their counts to the same collectors.
	maximumGroup = 64
	// minimumGroup is the number of nodes below which a region has no group of its own.
	minimumGroup = 4
)

// Node is a node of the fleet.
type Node struct {
	Address string
	Region  string
}

// Group is this node's place among the nodes that judge back ends together. The zero value has no members.
type Group struct {
	// Collectors are the nodes that add up the counts of the group.
	Collectors []string
	// VerdictRecipients are the nodes to which a collector tells its verdicts. SumRecipients are the collectors of other regions
	// to which it sends its sums, and SumSources those from which it takes sums: one of each other region. All are empty on a
	// node that does not collect.
	VerdictRecipients []string
	SumRecipients     []string
	SumSources        []string
	// Size is the number of nodes in the group.
	Size int
	// nodes are the nodes of the group, also on a node that does not collect.
	nodes []string
	// regionShare is the share of the nodes of the region that are in the group.
	regionShare float64
}

// collects reports whether this node is a collector of the group.
func (g Group) collects() bool { return len(g.VerdictRecipients) > 0 }

// NewGroup returns the group of a node. Nodes with the same view of the fleet agree without exchanging messages. The
// nodes of a region form groups of up to maximumGroup. A region with fewer than minimumGroup nodes joins the region that
// has most.
func NewGroup(self string, nodes []Node) Group {
	regions := divide(nodes)
	own, members := regionOf(self, regions)
	if members == nil {
		return Group{regionShare: 1}
	}
	group := Group{Collectors: collectors(members), nodes: members, Size: len(members)}
	group.regionShare = float64(len(members)) / float64(len(slices.Concat(regions[own]...)))
	place := slices.Index(group.Collectors, self)
	if place < 0 {
		return group
	}
	group.VerdictRecipients = members
	for region, others := range regions {
		if region == own {
			continue
		}
		group.SumSources = appendCollector(group.SumSources, sourceOf(members, others), place)
		for _, other := range others {
			if slices.Equal(sourceOf(other, regions[own]), members) {
				group.SumRecipients = appendCollector(group.SumRecipients, other, place)
			}
		}
	}
	return group
}

// regionOf returns the region and the group of a node, or no members if it is not among the nodes.
func regionOf(node string, regions map[string][][]string) (region string, members []string) {
	for region, groups := range regions {
		for _, members := range groups {
			if slices.Contains(members, node) {
				return region, members
			}
		}
	}
	return "", nil
}

// sourceOf returns the group of another region whose sums a group takes.
func sourceOf(members []string, others [][]string) []string {
	return others[xxhash.Sum64String(collectors(members)[0])%uint64(len(others))]
}

// appendCollector appends the collector of a group that has the same place among its collectors, if there is one.
func appendCollector(to, members []string, place int) []string {
	if found := collectors(members); place < len(found) {
		return append(to, found[place])
	}
	return to
}

// divide divides the nodes into groups, by region.
func divide(nodes []Node) map[string][][]string {
	byRegion := map[string][]string{}
	for _, n := range nodes {
		byRegion[n.Region] = append(byRegion[n.Region], n.Address)
	}
	largest := ""
	for region, members := range byRegion {
		if largest == "" || cmp.Or(cmp.Compare(len(byRegion[largest]), len(members)), cmp.Compare(region, largest)) < 0 {
			largest = region
		}
	}
	for region, members := range byRegion {
		if region != largest && len(members) < minimumGroup {
			byRegion[largest] = append(byRegion[largest], members...)
			delete(byRegion, region)
		}
	}
	divided := map[string][][]string{}
	for region, members := range byRegion {
		divided[region] = divideRegion(members)
	}
	return divided
}

// divideRegion divides the nodes of a region into groups of similar size. A node stays in its group while the number
// of groups does not change.
func divideRegion(members []string) [][]string {
	count := (len(members) + maximumGroup - 1) / maximumGroup
	groups := make([][]string, count)
	for _, member := range members {
		i := xxhash.Sum64String(member) % uint64(count)
		groups[i] = append(groups[i], member)
	}
	return slices.DeleteFunc(groups, func(group []string) bool { return len(group) == 0 })
}

// collectors returns the collectors of a group: the nodes whose addresses have the smallest hashes.
func collectors(members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return ranked[:min(len(ranked), collectorsPerGroup)]
}
