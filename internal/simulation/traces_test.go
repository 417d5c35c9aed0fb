package simulation

import (
	"bufio"
	"fmt"
	"os"
	"testing"
)

// tracesFile has a line for each recorded schedule: its seed, the number of steps and the hash of its events.
const tracesFile = "testdata/traces.txt"

// TestTracesAreKept compares the traces of some schedules with recorded ones. A change that only moves or renames code leaves
// the traces as they are. A change of the nodes' behaviour or of the simulation records them again and says why.
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
				t.Errorf("got %d steps with trace %x, recorded are %d steps with trace %x", result.Steps, result.Trace, steps, trace)
			}
		})
	}
	if kept == 0 {
		t.Error("the file of recorded traces contains no trace")
	}
}
