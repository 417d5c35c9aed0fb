// Package quarantine tells requests that end the back ends that run them from those that were at a back end when it ended, and decides what may be
// sent of the former.
//
// The package does no I/O and reads no clock: ends of runs, answers, what other nodes tell and the time go in, verdicts come out.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Mark tells requests from others. It is a cryptographic hash, the same on all nodes, so that nobody can make a request of his own that bears the mark of
// somebody else's.
type Mark [16]byte

// Identity is what a request is known by. A caller may come from another address the next time, and the same question may end back ends for one caller
// and not for another, so either is looked at.
type Identity struct {
	// Question is what is asked, whoever asks it, and Asked that by this caller: what bears one of these can be put under quarantine.
	Question, Asked Mark
	// Caller is who asks, whatever it is. One whose requests end back ends is sent on with care, also if each is another one.
	Caller Mark
}

// IdentityOf gives what a request is known by that a caller sends and that is described by some parts.
func IdentityOf(caller string, question ...[]byte) Identity {
	asked := append([][]byte{[]byte("caller"), []byte(caller)}, question...)
	return Identity{Question: MarkOf(question...), Asked: MarkOf(asked...), Caller: MarkOf([]byte("caller"), []byte(caller))}
}

// MarkOf gives the mark of a request that is described by some parts, in an order that is always the same.
func MarkOf(parts ...[]byte) Mark {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		// With the lengths no part can pass for the beginning of the next one.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	var mark Mark
	copy(mark[:], hash.Sum(nil))
	return mark
}

// shownBytes of a mark are enough to tell the requests of a log from each other.
const shownBytes = 8

// String shows the beginning of a mark, as logs have it.
func (m Mark) String() string { return hex.EncodeToString(m[:shownBytes]) }
