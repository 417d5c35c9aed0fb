package overview_test

import (
	"os"
	"reflect"
	"testing"

	"stiletrail/internal/overview"
)

// TestMetricsCompatibility: metrics as released gateways have served them are still read.
func TestMetricsCompatibility(t *testing.T) {
	metrics, err := os.Open("testdata/metrics.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = metrics.Close() }()
	got, err := overview.Read("10.0.0.7:8082", metrics)
	if err != nil {
		t.Fatal(err)
	}
	want := overview.Node{
		Address: "10.0.0.7:8082", Ready: true, Version: 21, Era: 2, Revision: 68, CopyAge: 340, Nodes: 6,
		BackEnds:       map[string]int{"cold": 4, "draining": 2, "ejected": 1, "evacuated": 7, "ready": 58},
		EvacuatedZones: 1, Quarantined: 3,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}
