package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scoredMember is the address of a member with its rendezvous hashing score for a key, such as the key of a group.
type scoredMember struct {
	address string
	score   uint64
}

func scoreOf(key, address string) scoredMember {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(address)
	return scoredMember{address: address, score: digest.Sum64()}
}

// compareScored orders members by falling score, and members of equal score by address.
func compareScored(a, b scoredMember) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address))
}

// highestScored sorts the members in place by falling score and returns the first count of them, or all if there are
// fewer.
func highestScored(members []scoredMember, count int) []scoredMember {
	slices.SortFunc(members, compareScored)
	return members[:min(len(members), count)]
}

func addressesOf(owners []scoredMember) []string {
	result := make([]string, 0, len(owners))
	for _, owner := range owners {
		result = append(result, owner.address)
	}
	return result
}
