// Command stiletrail-rehearsal runs the parts of a test environment: a stand-in platform, stand-in back ends, a load
// generator, complete rehearsals in one process, and experiments on the users' bench.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"stiletrail/internal/failure"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	app := kingpin.New("stiletrail-rehearsal", "Stand-ins of the platform and of back ends, a load generator, and rehearsals on loopback.")
	commands := map[string]func() error{}
	addQuickstart(app, commands)
	addPlatform(app, commands)
	addBackEnd(app, commands)
	addLoad(app, commands)
	addExperiment(app, commands)
	chosen, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "stiletrail-rehearsal: %s, try --help\n", err)
		os.Exit(exitUsage)
	}
	if err := commands[chosen](); err != nil {
		fmt.Fprintln(os.Stderr, failure.From(err).Error())
		os.Exit(exitFailed)
	}
	os.Exit(exitOK)
}

// untilSignal blocks until the process is asked to stop.
func untilSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}
