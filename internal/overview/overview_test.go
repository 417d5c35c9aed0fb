package overview_test

import (
	"slices"
	"strings"
	"testing"

	"stiletrail/internal/failure"
	"stiletrail/internal/overview"
)

const metrics = `stiletrail_ready 1
stiletrail_configuration_version 21
stiletrail_store_revision 68
stiletrail_store_era 2
stiletrail_copy_age_seconds 0.25
stiletrail_nodes 6
stiletrail_back_ends{state="ready"} 58
stiletrail_back_ends{state="draining"} 2
stiletrail_back_ends{state="cold"} 0
stiletrail_zones_evacuated 1
stiletrail_requests_quarantined 3
`

// TestRead: the metrics of a node are read. Text that is not the metrics of a node fails with MALFORMED.
func TestRead(t *testing.T) {
	got, err := overview.Read("a:1", strings.NewReader(metrics))
	if err != nil {
		t.Fatal(err)
	}
	if !got.Ready || got.Version != 21 || got.Era != 2 || got.Revision != 68 || got.CopyAge != 250 || got.Nodes != 6 || got.EvacuatedZones != 1 || got.Quarantined != 3 {
		t.Errorf("read %+v, want the values of the metrics", got)
	}
	if len(got.BackEnds) != 2 || got.BackEnds["ready"] != 58 || got.BackEnds["draining"] != 2 {
		t.Errorf("back ends %v, want 58 ready and 2 draining only", got.BackEnds)
	}
	for name, text := range map[string]string{"empty": "", "another program's": "other 1\n", "not metrics": "<html>\n"} {
		if _, err := overview.Read("a:1", strings.NewReader(text)); failure.CodeOf(err) != failure.Malformed {
			t.Errorf("%s: got error %v, want code MALFORMED", name, err)
		}
	}
}

// TestDifferences: nodes in the same state have no differences, and those of a node in another state are listed. Nodes
// whose metrics could not be read are left out.
func TestDifferences(t *testing.T) {
	a, b := overview.Node{Address: "a:1", Version: 28, Era: 2, Revision: 67}, overview.Node{Address: "b:1", Version: 28, Era: 2, Revision: 66}
	unreachable := overview.Node{Address: "c:1", Problem: "no answer"}
	if lines := overview.Differences([]overview.Node{a, b, unreachable}); len(lines) != 0 {
		t.Errorf("differences %q, want none", lines)
	}
	b.Version, b.Era = 21, 1
	want := []string{"configuration in force: version 21 on b:1; version 28 on a:1", "the store: era 1 on b:1; era 2 on a:1"}
	if lines := overview.Differences([]overview.Node{a, b, unreachable}); !slices.Equal(lines, want) {
		t.Errorf("differences %q, want %q", lines, want)
	}
}
