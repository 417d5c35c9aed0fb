package settings

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// loggedFile has the settings of a gateway that sets none, as the line of a start or reload tells them. Their names there are those of the fields of
// Gateway, and lengths of time are nanoseconds: readers of logs go by both.
const loggedFile = "testdata/logged.json"

// TestSettingsAreLoggedAsBefore: a field that is renamed, or that gets another unit, changes what a start's line tells.
func TestSettingsAreLoggedAsBefore(t *testing.T) {
	kept, err := os.ReadFile(loggedFile)
	if err != nil {
		t.Fatal(err)
	}
	logged, err := json.MarshalIndent(DefaultGateway(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if string(logged) != strings.TrimSpace(string(kept)) {
		t.Errorf("the settings are logged as\n%s\nand were as\n%s", logged, kept)
	}
}
