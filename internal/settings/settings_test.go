package settings

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"stiletrail/internal/failure"
)

const valid = `http_address: 127.0.0.1:7101
peer_address: 127.0.0.1:7201
zone: zone-a
platform_url: http://127.0.0.1:7900
seeds: [127.0.0.1:7202, 127.0.0.1:7203]
drain_timeout: 20s
`

// TestParse: a valid file has no problems, and an override takes precedence over the file.
func TestParse(t *testing.T) {
	loaded, problems := Parse("node.yaml", []byte(valid), []Override{{"zone", "zone-b"}})
	if len(problems) > 0 || loaded.Zone != "zone-b" || len(loaded.Seeds) != 2 || loaded.DrainTimeout != 20*time.Second {
		t.Errorf("got settings %+v and problems %v, want zone-b, 2 seeds, drain timeout 20s and no problems", loaded, problems)
	}
}

// TestProblems: all problems of a file are reported at once, each with its file and line.
func TestProblems(t *testing.T) {
	text := strings.Replace(valid, "zone: zone-a", "zone: ''\nhalflife: 3\nhedge_share: 2\nhttp_address: nowhere", 1)
	text = strings.Replace(text, "platform_url: http://127.0.0.1:7900\n", "", 1)
	_, problems := Parse("node.yaml", []byte(text), nil)
	want := []string{
		"node.yaml:3: zone", "node.yaml:4: halflife: found an unknown field", "node.yaml:5: hedge_share: found \"2\", allowed is 0 to 1",
		"node.yaml:6: http_address: found the field a second time", "node.yaml: platform_url: found nothing",
	}
	if len(problems) != len(want) {
		t.Fatalf("unexpected number of problems found: %v", problems)
	}
	for i, problem := range problems {
		if !strings.HasPrefix(problem.String(), want[i]) {
			t.Errorf("got %s, want %s", problem, want[i])
		}
	}
}

// TestLoad: a missing file fails with SETTINGS_INVALID, and the settings files of the examples are valid.
func TestLoad(t *testing.T) {
	if _, err := LoadNode(filepath.Join(t.TempDir(), "none.yaml"), nil); failure.CodeOf(err) != failure.SettingsInvalid {
		t.Errorf("missing file: got error %v, want code SETTINGS_INVALID", err)
	}
	examples, err := filepath.Glob("../../examples/node-*.yaml")
	if err != nil || len(examples) == 0 {
		t.Fatalf("found example files %v and error %v, want at least one file and no error", examples, err)
	}
	for _, example := range examples {
		if _, err := LoadNode(example, nil); err != nil {
			t.Error(err)
		}
	}
}

// FuzzParse: parsing must not panic on any input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("- 1"))
	f.Fuzz(func(_ *testing.T, text []byte) { Parse("f", text, nil) })
}
