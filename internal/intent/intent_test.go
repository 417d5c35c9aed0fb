package intent

import (
	"strings"
	"testing"

	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
)

const valid = `service: lookup
preference: latency
minimum_coverage: 0.5
deadline_milliseconds: 200
back_ends:
  - {address: "10.0.0.1:80", zone: zone-a, slots: 5, connections: 75}
  - {address: "10.0.0.2:80", zone: zone-b, slots: 5, connections: 75}
`

// TestParse checks which intents are refused, and that the error names the field, its line and the allowed values.
func TestParse(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           []string
	}{
		{"valid", "", "", nil},
		{"unknown field", "preference: latency", "preference: latency\ncolour: red", []string{"colour", "3"}},
		{"unknown preference", "preference: latency", "preference: speed", []string{"line 2", "preference", "speed", "latency or coverage"}},
		{"coverage over one", "0.5", "1.5", []string{"line 3", "minimum_coverage"}},
		{"host name as address", `"10.0.0.2:80"`, `"example:80"`, []string{"line 7", "back_ends[1].address", "IP address"}},
		{"address twice", "10.0.0.2:80", "10.0.0.1:80", []string{"line 7", "each address once"}},
		{"no slots", "slots: 5, connections: 75}\n  -", "slots: 0, connections: 75}\n  -", []string{"line 6", "back_ends[0].slots"}},
		{"two invalid fields", "service: lookup\npreference: latency", "service: LOOKUP\npreference: x", []string{"line 1", "line 2"}},
		{"no back ends", valid[strings.Index(valid, "back_ends"):], "", []string{"back_ends", "1 to 20000"}},
		{"not a mapping", valid, "- 1", []string{""}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, c.old, c.new, 1)))
			if c.want == nil {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if failure.CodeOf(err) != failure.InvalidArgument || !failure.From(err).NotRun {
				t.Fatalf("error %v, want a refusal of code INVALID_ARGUMENT", err)
			}
			for _, part := range c.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("want %q in the error, found %q", part, err.Error())
				}
			}
		})
	}
}

// TestParseJSON checks that an intent may be written in JSON.
func TestParseJSON(t *testing.T) {
	_, err := Parse([]byte(`{"service":"lookup","preference":"coverage","minimum_coverage":1,"deadline_milliseconds":9,
		"back_ends":[{"address":"10.0.0.1:80","zone":"a","slots":1,"connections":1}]}`))
	if err != nil {
		t.Error(err)
	}
}

func parse(t *testing.T, text string) Intent {
	t.Helper()
	parsed, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// TestPlan checks that a plan lists the changes against the base document, and that different plans have different
// digests.
func TestPlan(t *testing.T) {
	first := NewPlan(parse(t, valid), catalog.Document{}, 100)
	if first.Changes[0] != "create service lookup" || len(first.BackEnds) != 2 {
		t.Errorf("plan %+v, want the creation of the service with 2 back ends", first)
	}
	base := catalog.Document{Service: "lookup", Version: 4, Specification: parse(t, valid).Specification}
	same := NewPlan(parse(t, valid), base, 100)
	if len(same.Changes) != 1 || !strings.HasPrefix(same.Changes[0], "nothing") {
		t.Errorf("changes %v, want one line that begins with \"nothing\"", same.Changes)
	}
	drained := NewPlan(parse(t, strings.Replace(valid, "connections: 75}\n  -", "connections: 75, draining: true}\n  -", 1)), base, 100)
	if len(drained.BackEnds) != 1 || !strings.Contains(drained.Changes[0], "draining") || len(drained.Warnings) == 0 {
		t.Errorf("plan %+v, want one draining back end and a warning", drained)
	}
	if first.Digest == same.Digest || same.Digest == drained.Digest {
		t.Error("two different plans have the same digest")
	}
}

// TestCheckConfirmation checks that a confirmation is refused if the base version or the expiry differs from the
// plan's, or if the plan has expired.
func TestCheckConfirmation(t *testing.T) {
	wanted := parse(t, valid)
	plan := NewPlan(wanted, catalog.Document{}, 100)
	cases := []struct {
		name string
		err  error
		ok   bool
	}{
		{"as planned", CheckConfirmation(wanted, 0, 100, plan.Digest, 99), true},
		{"another base version", CheckConfirmation(wanted, 1, 100, plan.Digest, 99), false},
		{"another expiry", CheckConfirmation(wanted, 0, 101, plan.Digest, 99), false},
		{"expired", CheckConfirmation(wanted, 0, 100, plan.Digest, 101), false},
	}
	for _, c := range cases {
		if (c.err == nil) != c.ok {
			t.Errorf("%s: unexpected result: error %v", c.name, c.err)
		}
	}
}

// FuzzParse checks that Parse does not panic on any input, and that NewPlan does not panic on any intent that Parse
// accepts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"service":"a","delete":true}`))
	f.Add([]byte("service: [1"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		if parsed, err := Parse(text); err == nil {
			NewPlan(parsed, catalog.Document{}, 1)
		}
	})
}

// TestDigestsAreStable checks that the digest of a plan does not change between releases. A plan that was made by a
// node of one release may be confirmed at a node of another.
func TestDigestsAreStable(t *testing.T) {
	base := catalog.Document{Version: 3}
	const expires = 1700000000
	if got := NewPlan(parse(t, valid), base, expires).Digest; got != "d4c6e728b96dc6687367d0e78cb37a02" {
		t.Errorf("digest %s, want d4c6e728b96dc6687367d0e78cb37a02", got)
	}
	if got := NewPlan(Intent{Service: "lookup", Delete: true}, base, expires).Digest; got != "126993757fbaf9e671ff496d429132cc" {
		t.Errorf("digest of a deletion %s, want 126993757fbaf9e671ff496d429132cc", got)
	}
}
