package explain_test

import (
	"io"
	"os"
	"strings"
	"testing"

	"stiletrail/internal/explain"
)

// TestReportCompatibility: the report on the log in testdata stays the same. The log has lines of all events as
// released gateways have written them, some with a prefix, and lines of other programs.
func TestReportCompatibility(t *testing.T) {
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
		t.Errorf("the report is\n%s\nwant\n%s", got, want)
	}
}
