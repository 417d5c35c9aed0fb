package settings

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// loggedFile has the default settings of a gateway as they are logged at a start or a reload. They are logged under the
// names of the fields of Gateway, with durations in nanoseconds. Readers of the logs depend on both.
const loggedFile = "testdata/logged.json"

// TestLoggedSettingsCompatibility: renaming a field of Gateway or changing its unit would change the logged settings.
func TestLoggedSettingsCompatibility(t *testing.T) {
	want, err := os.ReadFile(loggedFile)
	if err != nil {
		t.Fatal(err)
	}
	logged, err := json.MarshalIndent(DefaultGateway(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if string(logged) != strings.TrimSpace(string(want)) {
		t.Errorf("the settings are logged as\n%s\nwant\n%s", logged, want)
	}
}
