package settings_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"stiletrail/internal/settings"
)

// TestRemovedSettings: a file that sets a removed setting is valid, and the setting is reported as ignored. A file that
// sets it twice is rejected.
func TestRemovedSettings(t *testing.T) {
	required := "node: n\ncaller_address: 127.0.0.1:1\nready_address: 127.0.0.1:2\nstore_address: 127.0.0.1:3\nzone: z\n"
	for text, want := range map[string][]string{
		required:                     nil,
		required + "linger: 150ms\n": {"linger"},
		required + "linger: 0s\n":    {"linger"},
	} {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		loaded, err := settings.LoadGateway(path, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := loaded.IgnoredSettings(); !slices.Equal(got, want) {
			t.Errorf("ignored settings %v, want %v", got, want)
		}
	}
	twice := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(twice, []byte(required+"linger: 0s\nlinger: 0s\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := settings.LoadGateway(twice, nil); err == nil {
		t.Error("a file that sets a removed setting twice was accepted, want an error")
	}
}
