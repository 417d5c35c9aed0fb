package exchange

import (
	"hash/maphash"
	"slices"
)

// maximumRequests is the number of requests after which a connection is closed. It bounds the memory of carriedIDs.
const maximumRequests = 512

var idSeed = maphash.MakeSeed()

// carriedIDs remembers the ids of all requests that a connection has carried, as hashes. A back end may send an answer
// a second time, late, and only the id tells which request it belongs to. So a connection carries each id at most once:
// the late copy of an answer is never taken for the answer to another attempt at the same request.
type carriedIDs struct{ hashes []uint32 }

func (c *carriedIDs) add(id string) { c.hashes = append(c.hashes, hashOf(id)) }

// contains reports whether the connection has carried the id. Two ids with the same hash count as one, which costs the
// second a new connection.
func (c *carriedIDs) contains(id string) bool {
	return id != "" && slices.Contains(c.hashes, hashOf(id))
}

func (c *carriedIDs) full() bool { return len(c.hashes) >= maximumRequests }

func hashOf(id string) uint32 { return uint32(maphash.String(idSeed, id)) }
