package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"sync"

	"golang.org/x/sync/errgroup"

	"stiletrail/internal/failure"
)

// Result of a run.
type Result struct {
	Run
	// Measures by name: worth, its parts, prices, shares.
	Measures map[string]float64 `json:"measures"`
	// Broken names the rules that the run broke, and faults of the day.
	Broken []string `json:"broken,omitempty"`
	// Entry names the record of the run.
	Entry string `json:"entry"`
}

// Runner plays a day.
type Runner interface {
	Run(ctx context.Context, run Run) (Result, error)
}

// RunAll plays all runs of a plan that the file of results does not hold yet, some at a time, and returns all results. Each result
// is in the file as soon as it is there, so that a break costs only what was under way.
func RunAll(ctx context.Context, plan Plan, player Runner, path string, jobs int) ([]Result, error) {
	results, err := readResults(path)
	if err != nil {
		return nil, err
	}
	done := map[Run]bool{}
	for _, r := range results {
		done[r.Run] = true
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "the results cannot be written")
	}
	defer func() { _ = file.Close() }()
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(jobs)
	for _, run := range plan.Runs() {
		if done[run] {
			continue
		}
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			result, err := player.Run(ctx, run)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
			return writeResult(file, result)
		})
	}
	return results, group.Wait()
}

func writeResult(file *os.File, result Result) error {
	line, err := json.Marshal(result)
	if err == nil {
		_, err = file.Write(append(line, '\n'))
	}
	if err != nil {
		return failure.Wrap(err, failure.Internal, "the results cannot be written")
	}
	return nil
}

// readResults reads a file of results. A last line that was cut short by a break is left out.
func readResults(path string) ([]Result, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "the results cannot be read")
	}
	defer func() { _ = file.Close() }()
	var results []Result
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r Result
		if json.Unmarshal(lines.Bytes(), &r) == nil {
			results = append(results, r)
		}
	}
	return results, lines.Err()
}
