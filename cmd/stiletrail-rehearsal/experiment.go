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

func addExperiment(app *kingpin.Application, commands map[string]func() error) {
	c := app.Command("experiment", "Play variants of the gateway on the users' bench, on the same days with the same seeds, and compare them. Goes on after a break where it stopped.")
	plan := c.Arg("plan", "File that says what is played, see deploy/experiments.").Required().ExistingFile()
	var b bench.Bench
	c.Flag("bench", "The bench's program.").Required().ExistingFileVar(&b.Program)
	c.Flag("sites", "The folder in whose subfolders the files of deployments lie.").Required().ExistingDirVar(&b.Sites)
	c.Flag("repository", "The sources.").Default(".").ExistingDirVar(&b.Repository)
	c.Flag("work", "Folder for scratch copies and results.").Required().StringVar(&b.Work)
	c.Flag("journal", "Folder in which the bench's entries are kept, those of failed trials too.").StringVar(&b.Journal)
	jobs := c.Flag("jobs", "Days played at a time.").Default("6").Int()
	output := c.Flag("output", "text or json.").Default("text").Enum("text", "json")
	measures := c.Flag("measure", "Only these measures; repeatable.").Strings()
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

func runExperiment(b *bench.Bench, jobs int, output, image string, measures []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, path := range []*string{&b.Work, &b.Repository, &b.Program, &b.Sites} {
		absolute, err := filepath.Abs(*path)
		if err != nil {
			return failure.Wrap(err, failure.InvalidArgument, "a folder cannot be found")
		}
		*path = absolute
	}
	if err := os.MkdirAll(b.Work, 0o755); err != nil {
		return failure.Wrap(err, failure.InvalidArgument, "the work folder cannot be made")
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
