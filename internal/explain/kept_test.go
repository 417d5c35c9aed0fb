package explain_test

import (
	"io"
	"os"
	"strings"
	"testing"

	"stiletrail/internal/explain"
)

// TestLogOfOld: a log as gateways have written it, with a prefix before some lines and lines of others between them, tells what it has told.
func TestLogOfOld(t *testing.T) {
	log, err := os.Open("testdata/node.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	report, err := explain.Request("request-1", []io.Reader{log})
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/report.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(report.Lines, "\n") + "\n"; got != string(want) {
		t.Errorf("told\n%s\nwant\n%s", got, want)
	}
}
