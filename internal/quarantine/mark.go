package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"stiletrail/internal/failure"
)

// Fingerprint names a request, a place or a caller. It is a cryptographic hash, the same on all nodes, so that nobody can make a request
// of his own that bears the mark of somebody else's.
type Fingerprint [16]byte

// Identity is what a request is known by. A caller may come from another address the next time, and the same question may end
// back ends for one caller and not for another, so either is looked at.
type Identity struct {
	// Request is what is asked, whoever asks it, and CallerRequest that by this caller: what bears one of these can be put under
	// quarantine.
	Request, CallerRequest Fingerprint
	// Resource is where it is asked, whatever the details, and Caller who asks, whatever it is. What bears one of these is sent on
	// with care while requests that bear it end back ends, also if each is another one.
	Resource, Caller Fingerprint
}

// kind keeps marks of different kinds apart.
type kind string

const (
	requestKind       kind = "question"
	callerRequestKind kind = "asked"
	resourceKind      kind = "place"
	callerKind        kind = "caller"
)

// NewIdentity gives what a request is known by that somebody sends, to some place, with some details.
func NewIdentity(caller string, resource, parameters []byte) Identity {
	return Identity{
		Request: FingerprintOf([]byte(requestKind), resource, parameters), CallerRequest: FingerprintOf([]byte(callerRequestKind), []byte(caller), resource, parameters),
		Resource: FingerprintOf([]byte(resourceKind), resource), Caller: FingerprintOf([]byte(callerKind), []byte(caller)),
	}
}

// fingerprints are all of an identity.
func (id Identity) fingerprints() [4]Fingerprint {
	return [...]Fingerprint{id.Request, id.CallerRequest, id.Resource, id.Caller}
}

// HashModulo is one from 0 to below count that is the same for the same question and spreads over different ones.
func (id Identity) HashModulo(count int) int {
	return int(binary.BigEndian.Uint64(id.Request[:8]) % uint64(count))
}

// canBeQuarantined reports whether what bears one of its marks can be put under quarantine.
func (id Identity) canBeQuarantined(fingerprint Fingerprint) bool {
	return fingerprint == id.Request || fingerprint == id.CallerRequest
}

// FingerprintOf gives the mark of what some parts describe, in an order that is always the same.
func FingerprintOf(parts ...[]byte) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		// With the lengths no part can pass for the beginning of the next one.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	var fingerprint Fingerprint
	copy(fingerprint[:], hash.Sum(nil))
	return fingerprint
}

// loggedBytes of a mark are enough to tell the requests of a log from each other.
const loggedBytes = 8

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(f[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler. A failure is of code MALFORMED.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(f) {
		return failure.New(failure.Malformed, "malformed fingerprint: expected "+strconv.Itoa(len(f))+" bytes in hexadecimal")
	}
	copy(f[:], decoded)
	return nil
}

// String shows the beginning of a mark, as logs have it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:loggedBytes]) }
