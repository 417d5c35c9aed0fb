package experiment_test

import (
	"bytes"
	"context"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"stiletrail/internal/experiment"
	"stiletrail/internal/failure"
)

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "plan.yaml")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

const valid = `
baseline: now
variants:
  - name: now
  - name: no-hedges
    settings: {hedge_share: 0}
sites: [s]
days: [calm, rough]
seeds: [1, 2]
`

// TestLoad checks that settings of a plan are read as text, and that the failure of an invalid plan lists all problems.
func TestLoad(t *testing.T) {
	plan, err := experiment.Load(write(t, valid), []string{"hedge_share"})
	if err != nil {
		t.Fatal(err)
	}
	if got := plan.Variants[1].Settings["hedge_share"]; got != "0" {
		t.Errorf("hedge_share is %q, want \"0\"", got)
	}
	if got := len(plan.Runs()); got != 8 {
		t.Errorf("the plan has %d runs, want 8", got)
	}
	bad := strings.NewReplacer("baseline: now", "baseline: then", "name: no-hedges", "name: now", "sites: [s]", "sites: []").Replace(valid) + "altered: [{name: t, site: s, times: {slots: 0}}]\n"
	_, err = experiment.Load(write(t, bad), nil)
	if failure.CodeOf(err) != failure.SettingsInvalid {
		t.Fatalf("invalid plan: error %v, want SETTINGS_INVALID", err)
	}
	for _, want := range []string{"used twice", `"hedge_share" is not a setting`, `baseline "then"`, "no sites", "the factor of slots is 0"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the failure of an invalid plan does not contain %q: %v", want, err)
		}
	}
	if _, err := experiment.Load(write(t, valid+"surprise: 1\n"), []string{"hedge_share"}); err == nil {
		t.Error("a plan with an unknown field was accepted")
	}
}

// fakeRunner computes a measure for each run. It fails after the number of runs in fail, or never if that is negative.
type fakeRunner struct {
	mu   sync.Mutex
	runs []experiment.Run
	fail int
}

// Run implements experiment.Runner.
func (p *fakeRunner) Run(_ context.Context, run experiment.Run) (experiment.Result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.runs) == p.fail {
		return experiment.Result{}, failure.New(failure.Internal, "stopped")
	}
	p.runs = append(p.runs, run)
	worth := 0.5 + 0.01*float64(run.Seed)
	if run.Variant != "now" {
		worth += 0.1 * float64(run.Seed)
	}
	return experiment.Result{Run: run, Measures: map[string]float64{"worth": worth}}, nil
}

// TestRunAllResumes checks that after an interruption only missing runs are made, including the one whose line in the file of
// results was cut short.
func TestRunAllResumes(t *testing.T) {
	plan, err := experiment.Load(write(t, valid), []string{"hedge_share"})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "results.jsonl")
	first := &fakeRunner{fail: 3}
	if _, err := experiment.RunAll(context.Background(), plan, first, path, 1); err == nil {
		t.Fatal("RunAll returned no error although a run failed")
	}
	text, _ := os.ReadFile(path)
	if err := os.WriteFile(path, text[:len(text)-5], 0o644); err != nil {
		t.Fatal(err)
	}
	second := &fakeRunner{fail: -1}
	results, err := experiment.RunAll(context.Background(), plan, second, path, 2)
	if err != nil || len(results) != 8 || len(second.runs) != 6 {
		t.Errorf("%d results, want 8; %d runs made after the interruption, want 6; error %v", len(results), len(second.runs), err)
	}
}

// TestCompare checks that differences are computed over pairs of the same day and seed, that their standard error is right, and
// that the table names runs that violated a rule.
func TestCompare(t *testing.T) {
	plan, err := experiment.Load(write(t, valid), []string{"hedge_share"})
	if err != nil {
		t.Fatal(err)
	}
	results, err := experiment.RunAll(context.Background(), plan, &fakeRunner{fail: -1}, filepath.Join(t.TempDir(), "r"), 1)
	if err != nil {
		t.Fatal(err)
	}
	results[0].Broken = []string{"SOME"}
	rows := experiment.Compare(plan, results)
	var all experiment.Row
	for _, r := range rows {
		if r.Day == "" && r.Variant == "no-hedges" {
			all = r
		}
	}
	if all.Runs != 4 || math.Abs(all.Difference-0.15) > 1e-9 || math.Abs(all.Error-math.Sqrt(0.0025*4/3)/2) > 1e-9 || all.WithinSpread {
		t.Errorf("row over all days %+v, want 4 runs with a significant difference of 0.15", all)
	}
	var text bytes.Buffer
	experiment.Print(&text, rows, "worth")
	for _, want := range []string{"no-hedges", "+0.1500", "1 broke a rule"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the table does not contain %q:\n%s", want, text.String())
		}
	}
	image := filepath.Join(t.TempDir(), "plot.png")
	if err := experiment.Plot(image, rows, "worth"); err != nil {
		t.Error(err)
	}
	if drawn, _ := os.ReadFile(image); !bytes.HasPrefix(drawn, []byte("\x89PNG")) {
		t.Error("Plot did not write a PNG file")
	}
}
