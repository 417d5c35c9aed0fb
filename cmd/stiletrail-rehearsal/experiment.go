package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"stiletrail/internal/experiment"
	"stiletrail/internal/failure"
	"stiletrail/internal/settings"
	"stiletrail/platform/bench"
)

// addExperiment adds the command that compares variants of the gateway on the bench.
func addExperiment(app *kingpin.Application, commands map[string]func() error) {
	c := app.Command("experiment", "Run variants of the gateway on the users' bench, on the same days with the same seeds, and compare them. An interrupted experiment continues where it stopped.")
	plan := c.Arg("plan", "File that describes the experiment, see deploy/experiments.").Required().ExistingFile()
	var b bench.Bench
	c.Flag("bench", "Program of the bench.").Required().ExistingFileVar(&b.Program)
	c.Flag("sites", "Folder with one subfolder of files per deployment.").Required().ExistingDirVar(&b.Sites)
	c.Flag("repository", "Folder with the source code.").Default(".").ExistingDirVar(&b.Repository)
	c.Flag("work", "Folder for scratch copies and results.").Required().StringVar(&b.Work)
	c.Flag("journal", "Folder for the journal entries of the bench, also those of failed trials.").StringVar(&b.Journal)
	jobs := c.Flag("jobs", "Number of days that run at the same time.").Default("6").Int()
	output := c.Flag("output", "text or json.").Default("text").Enum("text", "json")
	measures := c.Flag("measure", "Print only this measure; repeatable.").Strings()
	image := c.Flag("plot", "Write a plot of the worth to this PNG file.").String()
	commands[c.FullCommand()] = func() error {
		loaded, err := experiment.Load(*plan, settings.GatewayNames())
		if err != nil {
			return err
		}
		b.Plan = loaded
		return runExperiment(&b, *jobs, *output, *image, *measures)
	}
}

// runExperiment runs an experiment and prints, and if asked plots, how the variants compare.
func runExperiment(b *bench.Bench, jobs int, output, image string, measures []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, path := range []*string{&b.Work, &b.Repository, &b.Program, &b.Sites} {
		absolute, err := filepath.Abs(*path)
		if err != nil {
			return failure.Wrap(err, failure.InvalidArgument, "cannot resolve the path of a folder")
		}
		*path = absolute
	}
	if err := os.MkdirAll(b.Work, 0o755); err != nil {
		return failure.Wrap(err, failure.InvalidArgument, "cannot create the work folder")
	}
	results, err := experiment.RunAll(ctx, b.Plan, b, filepath.Join(b.Work, "results.jsonl"), jobs)
	if err != nil {
		return err
	}
	rows := experiment.Compare(b.Plan, results)
	if image != "" {
		if err := experiment.Plot(image, rows, "worth"); err != nil {
			return err
		}
	}
	if output == "json" {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	experiment.Print(os.Stdout, rows, measures...)
	return nil
}
