package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// allWatchFactor: where the nodes are no more than so many times the watchers wanted, all watch.
const allWatchFactor = 2

// Watchers returns which of some nodes watch the store and tell the others, in the order of their turns. It goes by hashes of the
// addresses, so that nodes that know the same members agree without an exchange; where they do not, some more or fewer watch.
func Watchers(addresses []string, wanted int) []string {
	watchers := slices.Clone(addresses)
	slices.SortFunc(watchers, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	if wanted == 0 || len(watchers) <= allWatchFactor*wanted {
		return watchers
	}
	return watchers[:wanted]
}
