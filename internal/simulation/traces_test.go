package simulation

import (
	"bufio"
	"fmt"
	"os"
	"testing"
)

// tracesFile has a line for each schedule: its seed, the steps and the hash of all that happened.
const tracesFile = "testdata/traces.txt"

// TestTracesAreKept: the nodes do the same in the same world. A change that only moves or renames code leaves the traces as they
// are; one that changes what the nodes do, or what happens to them, writes them anew and says why.
func TestTracesAreKept(t *testing.T) {
	file, err := os.Open(tracesFile)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	kept := 0
	for lines.Scan() {
		var seed, trace uint64
		var steps int
		if _, err := fmt.Sscanf(lines.Text(), "%d %d %x", &seed, &steps, &trace); err != nil {
			t.Fatalf("%q: %v", lines.Text(), err)
		}
		kept++
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result := RunSchedule(DrawSchedule(seed))
			if result.Trace != trace || int(result.Steps) != steps {
				t.Errorf("%d steps with trace %x, kept are %d with %x", result.Steps, result.Trace, steps, trace)
			}
		})
	}
	if kept == 0 {
		t.Error("no trace is kept")
	}
}
