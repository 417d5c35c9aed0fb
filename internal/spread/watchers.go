package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// allWatchFactor is the multiple of the wanted number of watchers up to which all nodes watch the store.
const allWatchFactor = 2

// Watchers returns the nodes that watch the store and send its changes to the other nodes, in the order of their
// scheduled polls. It chooses them by hashes of the addresses, so that nodes with the same view of the members
// agree without exchanging messages. If views differ, somewhat more or fewer nodes watch.
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
