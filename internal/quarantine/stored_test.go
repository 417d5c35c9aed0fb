package quarantine_test

import (
	"fmt"
	"testing"

	"stiletrail/internal/clock"
	"stiletrail/internal/quarantine"
)

// storedIdentity returns the identity of the request whose stored form the constants below hold. Nodes of different
// releases must compute the same fingerprints, keys and items for a request.
func storedIdentity() quarantine.Identity {
	return quarantine.NewIdentity("10.1.2.3", []byte("GET /x"), []byte("q=1"))
}

const (
	storedRequest       = "0d915057f0e2a6646a95f65c3a7d314b"
	storedCallerRequest = "4534cfc4ad6ca44f08b745ce465cbfc2"
	storedResource      = "4a25e117ca9f4d444638e19016eb13fe"
	storedCaller        = "ace723273ba1cfc2028b440610d0184b"
)

// TestStoredFingerprints guards the form of fingerprints in store keys and in messages: nodes of another release read
// them.
func TestStoredFingerprints(t *testing.T) {
	id := storedIdentity()
	for want, fingerprint := range map[string]quarantine.Fingerprint{
		storedRequest: id.Request, storedCallerRequest: id.CallerRequest, storedResource: id.Resource,
		storedCaller: id.Caller,
	} {
		text, err := fingerprint.MarshalText()
		if err != nil || string(text) != want {
			t.Errorf("fingerprint %s, error %v, want %s", text, err, want)
		}
		var read quarantine.Fingerprint
		if err := read.UnmarshalText([]byte(want)); err != nil || read != fingerprint {
			t.Errorf("read back fingerprint %v, error %v, want %v", read, err, fingerprint)
		}
	}
}

// TestStoredKeys guards the form of the store keys of quarantines and of retrials, which nodes of another release read.
// A retrial's key must not be taken for that of a quarantine.
func TestStoredKeys(t *testing.T) {
	request := storedIdentity().Request
	const key = "quarantine/" + storedRequest
	if got := quarantine.KeyOf(request); got != key {
		t.Errorf("key %q, want %q", got, key)
	}
	if fingerprint, found := quarantine.ParseKey(key); !found || fingerprint != request {
		t.Errorf("fingerprint %v, found %t; want that of the request, found", fingerprint, found)
	}
	for version, want := range map[string]string{
		"2.1": "quarantine-retrial/" + storedRequest + "/322e31",
		"":    "quarantine-retrial/" + storedRequest + "/",
	} {
		got := quarantine.RetrialKey(request, version)
		if got != want {
			t.Errorf("retrial key %q, want %q", got, want)
		}
		if _, found := quarantine.ParseKey(got); found {
			t.Errorf("the retrial key %q is taken for the key of a quarantine", got)
		}
	}
}

// TestStoredItem guards the stored form of a quarantine: what a node writes at each stage, and what it reads of an item
// that another node has written.
func TestStoredItem(t *testing.T) {
	const (
		unknown  = `{"versions":null}`
		ended    = `{"versions":["1.0"],"askers":["` + storedCallerRequest + `"]}`
		answered = `{"versions":["1.0"],"sound":["2.0"],"askers":["` + storedCallerRequest + `"]}`
	)
	id := storedIdentity()
	core := newCore()
	expect := func(want string) {
		t.Helper()
		if got := string(core.Encode(id.Request)); got != want {
			t.Errorf("item %s, want %s", got, want)
		}
	}
	expect(unknown)
	now := 5 * clock.Second
	for i := range 4 {
		began := now
		now += clock.Second / 2
		core.RecordCrash(now, id, quarantine.Crash{Service: "s", BackEnd: fmt.Sprint(i), Version: "1.0",
			StartedAt: began, CrashedAt: now})
	}
	expect(ended)
	core.RecordAnswer(now, id, "s", "2.0")
	expect(answered)

	reader := newCore()
	if newlyQuarantined, err := reader.ApplyStored(now, id.Request, []byte(answered)); !newlyQuarantined || err != nil {
		t.Fatalf("newly quarantined %t, error %v; want true, none", newlyQuarantined, err)
	}
	if got := string(reader.Encode(id.Request)); got != answered {
		t.Errorf("written again as %s, want %s", got, answered)
	}
	if safe := reader.SafeVersions(now, id); len(safe) != 1 || safe[0] != "2.0" {
		t.Errorf("safe versions %q, want 2.0 alone", safe)
	}
	if _, _, other := reader.OtherCaller(now, id); other {
		t.Error("the stored caller is taken for another caller")
	}
}
