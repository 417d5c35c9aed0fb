package main

import (
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"stiletrail/internal/failure"
	"stiletrail/internal/rehearsal"
)

// addQuickstart adds the command that runs a complete rehearsal in one process.
func addQuickstart(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("quickstart", "Run nodes in three zones, a stand-in platform and back ends in one process, and inject failures. Ends by itself within a minute.")
	verbose := command.Flag("verbose", "Write the nodes' logs to standard error.").Bool()
	commands[command.FullCommand()] = func() error {
		var log io.Writer = io.Discard
		if *verbose {
			log = os.Stderr
		}
		summary, err := rehearsal.Quickstart(os.Stdout, log)
		if err != nil {
			return err
		}
		if !summary.Ok {
			return failure.New(failure.Internal, "the quickstart got wrong answers or no complete answer")
		}
		return nil
	}
}
