package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"stiletrail/internal/failure"
)

// Fingerprint identifies a request, a resource or a caller. It is a cryptographic hash and the same on all nodes.
// Nobody can craft a request that has the fingerprint of another one.
type Fingerprint [16]byte

// Identity holds the fingerprints by which a request is recognised. A caller may use another address the next time, and
// the same request may crash back ends for one caller and not for another; therefore it is tracked with and without the
// caller.
type Identity struct {
	// Request identifies the request independently of its caller, CallerRequest the request of this caller. Both can be
	// quarantined.
	Request, CallerRequest Fingerprint
	// Resource identifies what the request addresses, independently of its parameters; Caller identifies who sends it.
	// While requests that share one of these crash back ends, they are sent with caution, even if no two of them are
	// the same.
	Resource, Caller Fingerprint
}

// kind is hashed first, so that fingerprints of different kinds differ. Its values are part of stored fingerprints.
type kind string

const (
	requestKind       kind = "question"
	callerRequestKind kind = "asked"
	resourceKind      kind = "place"
	callerKind        kind = "caller"
)

// NewIdentity returns the identity of a request that a caller sends to a resource with some parameters.
func NewIdentity(caller string, resource, parameters []byte) Identity {
	return Identity{
		Request:       FingerprintOf([]byte(requestKind), resource, parameters),
		CallerRequest: FingerprintOf([]byte(callerRequestKind), []byte(caller), resource, parameters),
		Resource:      FingerprintOf([]byte(resourceKind), resource),
		Caller:        FingerprintOf([]byte(callerKind), []byte(caller)),
	}
}

// fingerprints returns all fingerprints of an identity.
func (id Identity) fingerprints() [4]Fingerprint {
	return [...]Fingerprint{id.Request, id.CallerRequest, id.Resource, id.Caller}
}

// HashModulo returns a number from 0 to count-1. It is the same for equal requests and evenly distributed over
// different ones.
func (id Identity) HashModulo(count int) int {
	return int(binary.BigEndian.Uint64(id.Request[:8]) % uint64(count))
}

// canBeQuarantined reports whether a fingerprint of the identity can be quarantined: those of the resource and of the
// caller cannot.
func (id Identity) canBeQuarantined(fingerprint Fingerprint) bool {
	return fingerprint == id.Request || fingerprint == id.CallerRequest
}

// FingerprintOf returns the fingerprint of a sequence of parts. Their order matters.
func FingerprintOf(parts ...[]byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		// The length of each part is hashed too, so that no two different sequences of parts give the same input.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	var fingerprint Fingerprint
	copy(fingerprint[:], hash.Sum(nil))
	return fingerprint
}

// loggedBytes is the length of a fingerprint in logs, in bytes. It is long enough to distinguish the requests in a log.
const loggedBytes = 8

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(f[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its errors have the code MALFORMED.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(f) {
		return failure.New(failure.Malformed, "malformed fingerprint: expected "+strconv.Itoa(len(f))+" bytes in hexadecimal")
	}
	copy(f[:], decoded)
	return nil
}

// String returns the beginning of the fingerprint in hexadecimal, as logs show it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:loggedBytes]) }
