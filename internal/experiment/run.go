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

// Result is the result of a run.
type Result struct {
	Run
	// Measures holds the measured values by name.
	Measures map[string]float64 `json:"measures"`
	// Broken names the rules that were violated in the run. An error that the run reported is added as "fault: ...".
	Broken []string `json:"broken,omitempty"`
	// Entry names the record of the run in the journal.
	Entry string `json:"entry"`
}

// Runner runs a variant on a day and returns its measures.
type Runner interface {
	Run(ctx context.Context, run Run) (Result, error)
}

// RunAll makes all runs of a plan that are not in the file of results yet, up to jobs at a time, and returns all results. Each
// result is written to the file as soon as its run ends, so that an interruption loses only the runs in flight.
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
		return nil, failure.Wrap(err, failure.Internal, "cannot open the file of results for writing")
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
		return failure.Wrap(err, failure.Internal, "cannot write a result to the file of results")
	}
	return nil
}

// readResults reads a file of results. A line that is not valid JSON, such as a last line cut short by an interruption, is
// ignored, so that its run is made again.
func readResults(path string) ([]Result, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "cannot read the file of results")
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
