package message

import (
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"stiletrail/internal/failure"
	"stiletrail/internal/history"
	"stiletrail/internal/query"
)

// samples returns one message of each kind with its fields set.
func samples() []Message { return append(firstSamples(), laterSamples()...) }

// firstSamples returns the samples of the kinds that the protocol version began with.
func firstSamples() []Message {
	update := []MemberUpdate{{Address: "10.0.0.1:1", Zone: "a", Region: "n", Generation: 1, Incarnation: 2, State: 3}}
	id := query.ID{Generation: 7, Sequence: 8}
	snapshot := query.Snapshot{Version: 3, Epoch: 4}
	documents := []query.ShardDocuments{{Shard: 1, Documents: []query.Document{{Key: "k", Body: []byte("b")}}}}
	return []Message{
		&Probe{Sequence: 1, Origin: "x", Updates: update}, &ProbeAck{Sequence: 2, Updates: update},
		&ProbeRequest{Sequence: 3, Target: "y", Updates: update}, &MemberSync{ReplyWanted: true, Complete: true, Hash: 5, Updates: update},
		&CatalogSummary{Hash: 1, AgeMilliseconds: -1, Ready: true, Reply: true}, &CatalogBuckets{Hashes: []uint64{1, 2}},
		&CatalogKeys{Buckets: []uint32{1}, Keys: []ServiceVersion{{Service: "s", Version: 2}}},
		&CatalogDocuments{Operation: 1, Rumor: true, Documents: [][]byte{{1}}, Deltas: [][]byte{{2}}, Wanted: []ServiceVersion{{Service: "s"}}},
		&CatalogAck{Operation: 4},
		&SubQuery{ID: id, Service: "s", Group: 1, Shards: []uint32{1, 2}, Snapshot: snapshot, Execute: true, Body: []byte("q"), RemainingMicroseconds: 9},
		&SubAnswer{ID: id, Snapshot: snapshot, Results: documents, Done: true, Missing: []query.Missing{{Shard: 2, Reason: query.ReasonLost}}, NotRun: true, ShardAttempts: 3, RetryAfterMilliseconds: 4},
		&SubCancel{ID: id}, &GroupRequest{Service: "s", Group: 2},
		&GroupState{Service: "s", Group: 2, CatalogVersion: 3, Holdings: []query.Holding{{State: query.StateServing, Epoch: 1, ShardsTotal: 4, Shards: []uint32{0}, OldestVersion: 1, NewestVersion: 2}}},
		&ForwardExecute{Sequence: 1, Service: "s", Key: "k", Body: []byte("b"), Ticket: []byte("t"), RemainingMicroseconds: 5},
		&ForwardReply{Sequence: 1, Code: "C", NotRun: true, Text: "t", RetryAfterMilliseconds: 1, Shard: 2, Result: []byte("r")},
		&VersionRequest{Sequence: 1, Service: "s"}, &VersionReply{Sequence: 1, Versions: []ServiceVersion{{Service: "s", Version: 2}}},
		&Hello{Address: "a"}, &StoreDigest{Revision: history.At(1, 1), Configuration: 3}, &StoreRequest{Revision: history.At(1, 2)},
		&StoreRecords{Since: history.At(1, 1), Revision: history.At(1, 3), Complete: true, Records: []StoreRecord{{Key: "k", Revision: history.At(1, 2), Deleted: true, Value: []byte("v")}}, Retained: []StoreRecord{{Key: "c", Revision: history.At(1, 9), Value: []byte("w")}}},
		&Evidence{Requests: []RequestEvidence{{
			Fingerprint: [16]byte{1, 15: 2}, Aggregate: true, Crashes: []Crash{{Service: "s", BackEnd: "b", Version: "v", StartedAgoMs: 3, CrashedAgoMs: 4}}, Answered: true, AnsweredAgoMs: 5,
			QuarantineRemainingMs: 6, QuarantinedForMs: 7, CrashedVersions: []string{"v"}, SafeVersions: []string{"w"}, CallerFingerprints: [][16]byte{{3}},
		}}},
		&BackEndReports{Reports: []BackEndReport{{BackEnd: 1 << 60, SlowdownSixteenths: 136, FaultPercent: 45, AgeMs: 200}}},
		&QuotaReport{Borrower: 9, Uses: []QuotaUse{{
			Key: 1 << 61, Pool: 2, Granter: 8, Sequence: 300, Received: 299, Held: 1, Wanted: 4, WindowMs: 5000, AllowedThousandths: 265000,
			BoundThousandths: 311500, Used: []QuotaSlot{{AgeMs: 100, Count: 2}, {AgeMs: 4900, Count: 1}},
		}}},
		&QuotaGrant{Granter: 8, Grants: []QuotaLease{{Key: 1 << 61, Pool: 2, Sequence: 300, Tokens: 3, ValidMs: 2000, RetryMs: 120, RoomMs: 700, InUse: 90, Scarce: true}}},
	}
}

// laterSamples returns the samples of the kinds that were added since. Their frames stand at the end of the file.
func laterSamples() []Message {
	return []Message{
		&AttemptCounts{AgeMs: 7, Counts: []AttemptCount{{BackEnd: 1 << 60, Sent: 9, Refused: 5, Unreachable: 1, BusyMs: 300}}},
		&AttemptSums{AgeMs: 8, Sums: []AttemptSum{{BackEnd: 1 << 60, SentTenths: 900, RefusedTenths: 500, UnreachableTenths: 100, BusyMs: 3000}}},
		&BackEndVerdicts{AgeMs: 9, Verdicts: []BackEndVerdict{{BackEnd: 1 << 60, RefusedPercent: 60, Unreachable: true}}, Watched: []uint64{5}},
		&ClockRequest{SentAt: 1 << 62}, &ClockAnswer{RequestSentAt: 1 << 62, At: 1<<61 + 5},
		&CatalogSummary{Hash: 1, AgeMilliseconds: 5, Reply: true, SentAt: 1<<61 + 7},
		&Evidence{Requests: []RequestEvidence{{Answered: true, AnsweredAgoMs: 5}}, SentAt: 1<<61 + 7},
		&StoreDigest{Revision: history.At(1, 4), Confirmation: Confirmation{Confirmed: true, AgeMs: 40, At: 1<<61 + 7}},
		&StoreRecords{Since: history.At(1, 3), Revision: history.At(1, 4), Confirmation: Confirmation{Confirmed: true, AgeMs: 40, At: 1<<61 + 7}},
	}
}

func decode(frame []byte) (Message, error) {
	header, err := DecodeHeader(frame[:min(len(frame), HeaderSize)])
	if err != nil {
		return nil, err
	}
	return DecodePayload(header, frame[HeaderSize:])
}

// TestRoundTrip: a message of every kind decodes to what was encoded, and every kind has a sample.
func TestRoundTrip(t *testing.T) {
	seen := map[Kind]bool{}
	for _, m := range samples() {
		seen[m.Kind()] = true
		decoded, err := decode(Encode(m))
		if err != nil || !reflect.DeepEqual(decoded, m) {
			t.Errorf("kind %d: decoded to %+v with error %v, want the sample", m.Kind(), decoded, err)
		}
	}
	for kind := range constructors {
		if !seen[kind] {
			t.Errorf("kind %d has no sample", kind)
		}
	}
}

// TestLongStringsAreNotTruncated: a long key is not truncated to fit a length field.
func TestLongStringsAreNotTruncated(t *testing.T) {
	sent := &ForwardExecute{Key: strings.Repeat("k", 100000)}
	decoded, err := decode(Encode(sent))
	if err != nil || decoded.(*ForwardExecute).Key != sent.Key {
		t.Errorf("the key of 100000 bytes was truncated or not decoded, error %v", err)
	}
}

// TestMalformedFrames: frames that are truncated, altered or of an unknown kind are rejected with the code
// MALFORMED.
func TestMalformedFrames(t *testing.T) {
	complete := Encode(samples()[0])
	cases := map[string]func([]byte) []byte{
		"truncated header":        func(f []byte) []byte { return f[:HeaderSize-1] },
		"wrong magic number":      func(f []byte) []byte { f[0]++; return f },
		"other protocol version":  func(f []byte) []byte { f[2]++; return f },
		"unknown kind":            func(f []byte) []byte { f[3] = 200; return f },
		"length above the limit":  func(f []byte) []byte { f[4] = 0xff; return f },
		"truncated payload":       func(f []byte) []byte { return f[:len(f)-1] },
		"trailing byte":           func(f []byte) []byte { return append(f, 0) },
		"altered payload":         func(f []byte) []byte { f[len(f)-1]++; return f },
		"payload of another kind": func(f []byte) []byte { f[3] = byte(KindSubAnswer); return f },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := decode(change(append([]byte(nil), complete...))); failure.CodeOf(err) != failure.Malformed {
				t.Errorf("decoding ended with error %v, want the code MALFORMED", err)
			}
		})
	}
}

// FuzzPayload: decoding any payload ends without a panic, and a message that was decoded encodes to one that
// decodes to the same.
func FuzzPayload(f *testing.F) {
	for _, m := range samples() {
		f.Add(uint8(m.Kind()), Encode(m)[HeaderSize:])
	}
	f.Fuzz(func(t *testing.T, kind uint8, payload []byte) {
		m := newMessage(Kind(kind))
		if m == nil {
			return
		}
		c := codec{buffer: payload, reading: true}
		if allocated := allocatedBy(func() { m.fields(&c) }); allocated > maximumFrameMemory {
			t.Errorf("decoding %d bytes took %d bytes of memory, want at most %d", len(payload), allocated, maximumFrameMemory)
		}
		if c.failed || len(c.buffer) > 0 {
			return
		}
		again, err := decode(Encode(m))
		if err != nil || !reflect.DeepEqual(again, m) {
			t.Errorf("the message decoded again to %+v, want %+v, error %v", again, m, err)
		}
	})
}

// TestMemoryOfDecodedFrame guards against a frame that takes many times its size in memory once it is decoded: lists of
// empty strings within a list.
func TestMemoryOfDecodedFrame(t *testing.T) {
	m := &Evidence{Requests: make([]RequestEvidence, 120)}
	for i := range m.Requests {
		m.Requests[i].SafeVersions = make([]string, MaximumItems)
	}
	frame := Encode(m)
	m = nil
	if len(frame) > MaximumPayload {
		t.Fatalf("the frame has %d bytes, which is more than is allowed", len(frame))
	}
	allocated := allocatedBy(func() {
		if _, err := decode(frame); failure.CodeOf(err) != failure.Malformed {
			t.Errorf("decoding ended with error %v, want the code MALFORMED", err)
		}
	})
	if allocated > maximumFrameMemory {
		t.Errorf("decoding took %d bytes of memory, want at most %d", allocated, maximumFrameMemory)
	}
}

// maximumFrameMemory is the memory that decoding a frame may take: its lists, and a copy of the payload in strings and byte
// slices.
const maximumFrameMemory = maximumLists + 2*MaximumPayload

// allocatedBy returns how many bytes of memory a function allocates.
func allocatedBy(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestMalformedLengths: a length is malformed if its encoding is longer than necessary or truncated, or if it
// exceeds the payload.
func TestMalformedLengths(t *testing.T) {
	for name, payload := range map[string][]byte{
		"longer than necessary": {0x81, 0x00},
		"truncated":             {0x80},
		"beyond the payload":    {0x05, 'a'},
	} {
		header := Header{
			Magic: magic, Protocol: protocolVersion, Kind: KindHello, Length: uint32(len(payload)), Checksum: xxhash.Sum64(payload),
		}
		if m, err := DecodePayload(header, payload); failure.CodeOf(err) != failure.Malformed {
			t.Errorf("length %s: decoded to %+v with error %v, want the code MALFORMED", name, m, err)
		}
	}
}
