package quarantine_test

import (
	"fmt"
	"testing"

	"stiletrail/internal/clock"
	"stiletrail/internal/quarantine"
)

// storedIdentity is the request of which the literals below are the stored form. Nodes of different releases must give a request the same marks,
// keys and items.
func storedIdentity() quarantine.Identity {
	return quarantine.NewIdentity("10.1.2.3", []byte("GET /x"), []byte("q=1"))
}

const (
	storedQuestion = "0d915057f0e2a6646a95f65c3a7d314b"
	storedAsked    = "4534cfc4ad6ca44f08b745ce465cbfc2"
	storedPlace    = "4a25e117ca9f4d444638e19016eb13fe"
	storedCaller   = "ace723273ba1cfc2028b440610d0184b"
)

// TestStoredMarks: the marks of a request, as keys of the store and messages have them.
func TestStoredMarks(t *testing.T) {
	id := storedIdentity()
	for want, mark := range map[string]quarantine.Fingerprint{
		storedQuestion: id.Request, storedAsked: id.CallerRequest, storedPlace: id.Resource, storedCaller: id.Caller,
	} {
		text, err := mark.MarshalText()
		if err != nil || string(text) != want {
			t.Errorf("mark %s, error %v, want %s", text, err, want)
		}
		var read quarantine.Fingerprint
		if err := read.UnmarshalText([]byte(want)); err != nil || read != mark {
			t.Errorf("read back %v, error %v, want %v", read, err, mark)
		}
	}
}

// TestStoredKeys: the keys of a quarantine and of a retrial are written and read as before.
func TestStoredKeys(t *testing.T) {
	question := storedIdentity().Request
	const key = "quarantine/" + storedQuestion
	if got := quarantine.KeyOf(question); got != key {
		t.Errorf("key %q, want %q", got, key)
	}
	if mark, found := quarantine.ParseKey(key); !found || mark != question {
		t.Errorf("mark %v, found %t", mark, found)
	}
	for version, want := range map[string]string{
		"2.1": "quarantine-retrial/" + storedQuestion + "/322e31",
		"":    "quarantine-retrial/" + storedQuestion + "/",
	} {
		got := quarantine.RetrialKey(question, version)
		if got != want {
			t.Errorf("retrial key %q, want %q", got, want)
		}
		if _, found := quarantine.ParseKey(got); found {
			t.Errorf("the retrial key %q passes for that of a quarantine", got)
		}
	}
}

// TestStoredItem: what a node writes of a quarantine, and what it reads of one that was written before.
func TestStoredItem(t *testing.T) {
	const (
		unknown  = `{"versions":null}`
		ended    = `{"versions":["1.0"],"askers":["` + storedAsked + `"]}`
		answered = `{"versions":["1.0"],"sound":["2.0"],"askers":["` + storedAsked + `"]}`
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
		core.RecordCrash(now, id, quarantine.Crash{Service: "s", BackEnd: fmt.Sprint(i), Version: "1.0", StartedAt: began, CrashedAt: now})
	}
	expect(ended)
	core.RecordAnswer(now, id, "s", "2.0")
	expect(answered)

	reader := newCore()
	if convicted, err := reader.ApplyStored(now, id.Request, []byte(answered)); !convicted || err != nil {
		t.Fatalf("convicted %t, error %v", convicted, err)
	}
	if got := string(reader.Encode(id.Request)); got != answered {
		t.Errorf("written again as %s, want %s", got, answered)
	}
	if sound := reader.SafeVersions(now, id); len(sound) != 1 || sound[0] != "2.0" {
		t.Errorf("sound versions %q", sound)
	}
	if _, _, other := reader.OtherCaller(now, id); other {
		t.Error("the asker that is stored passes for another caller")
	}
}
