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

// TestLoad: a plan is read with its settings as text; one that is not valid tells all its problems at once.
func TestLoad(t *testing.T) {
	plan, err := experiment.Load(write(t, valid), []string{"hedge_share"})
	if err != nil {
		t.Fatal(err)
	}
	if got := plan.Variants[1].Settings["hedge_share"]; got != "0" {
		t.Errorf("hedge_share is %q", got)
	}
	if got := len(plan.Runs()); got != 8 {
		t.Errorf("%d runs", got)
	}
	bad := strings.NewReplacer("baseline: now", "baseline: then", "name: no-hedges", "name: now", "sites: [s]", "sites: []").Replace(valid) + "altered: [{name: t, site: s, times: {slots: 0}}]\n"
	_, err = experiment.Load(write(t, bad), nil)
	if failure.CodeOf(err) != failure.SettingsInvalid {
		t.Fatalf("error %v", err)
	}
	for _, want := range []string{"there twice", `"hedge_share" is no setting`, `baseline "then"`, "no sites", "multiplied by 0"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in %v", want, err)
		}
	}
	if _, err := experiment.Load(write(t, valid+"surprise: 1\n"), []string{"hedge_share"}); err == nil {
		t.Error("an unknown field is taken")
	}
}

// fakePlayer gives each run a worth and fails after some runs.
type fakePlayer struct {
	mu     sync.Mutex
	played []experiment.Run
	fail   int
}

// Run implements experiment.Player.
func (p *fakePlayer) Run(_ context.Context, run experiment.Run) (experiment.Result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.played) == p.fail {
		return experiment.Result{}, failure.New(failure.Internal, "stopped")
	}
	p.played = append(p.played, run)
	worth := 0.5 + 0.01*float64(run.Seed)
	if run.Variant != "now" {
		worth += 0.1 * float64(run.Seed)
	}
	return experiment.Result{Run: run, Measures: map[string]float64{"worth": worth}}, nil
}

// TestPlayGoesOn: after a break only what is missing is played, and a last line that was cut short is played again.
func TestPlayGoesOn(t *testing.T) {
	plan, err := experiment.Load(write(t, valid), []string{"hedge_share"})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "results.jsonl")
	first := &fakePlayer{fail: 3}
	if _, err := experiment.RunAll(context.Background(), plan, first, path, 1); err == nil {
		t.Fatal("the failure of a run is passed over")
	}
	text, _ := os.ReadFile(path)
	if err := os.WriteFile(path, text[:len(text)-5], 0o644); err != nil {
		t.Fatal(err)
	}
	second := &fakePlayer{fail: -1}
	results, err := experiment.RunAll(context.Background(), plan, second, path, 2)
	if err != nil || len(results) != 8 || len(second.played) != 6 {
		t.Errorf("%d results, %d played again, %v", len(results), len(second.played), err)
	}
}

// TestCompare: differences are of pairs of the same day and seed, and those under two standard errors are said to be none.
func TestCompare(t *testing.T) {
	plan, err := experiment.Load(write(t, valid), []string{"hedge_share"})
	if err != nil {
		t.Fatal(err)
	}
	results, err := experiment.RunAll(context.Background(), plan, &fakePlayer{fail: -1}, filepath.Join(t.TempDir(), "r"), 1)
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
		t.Errorf("row %+v", all)
	}
	var text bytes.Buffer
	experiment.Print(&text, rows, "worth")
	for _, want := range []string{"no-hedges", "+0.1500", "1 broke a rule"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing in\n%s", want, text.String())
		}
	}
	image := filepath.Join(t.TempDir(), "plot.png")
	if err := experiment.Plot(image, rows, "worth"); err != nil {
		t.Error(err)
	}
	if drawn, _ := os.ReadFile(image); !bytes.HasPrefix(drawn, []byte("\x89PNG")) {
		t.Error("no PNG was written")
	}
}
