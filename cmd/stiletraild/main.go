// Command stiletraild is a node of the query tier. All nodes have the same tasks: they serve callers and operators and
// dispatch requests to back ends. Those that are relays of their zone also read the platform for it.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"stiletrail/internal/failure"
	"stiletrail/internal/node"
	"stiletrail/internal/platform"
	"stiletrail/internal/settings"
)

// Exit codes. exitDrainTimedOut means that requests were still in flight at the end of the drain timeout.
const (
	exitOK              = 0
	exitFailed          = 1
	exitInvalidSettings = 2
	exitDrainTimedOut   = 3
)

func main() {
	app := kingpin.New("stiletraild", "A node of the stiletrail query tier. SIGTERM starts a planned stop: requests in flight are finished.")
	file := app.Flag("settings", "Settings file (YAML); see docs/OPERATIONS-stiletraild.md.").String()
	flags := map[string]*string{}
	for _, name := range settings.NodeNames() {
		flags[name] = app.Flag(flagName(name), "Overrides "+name+" of the settings file.").String()
	}
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "stiletraild: %s, try --help\n", err)
		os.Exit(exitInvalidSettings)
	}
	loaded, err := settings.LoadNode(*file, overrides(flags))
	if err != nil {
		fmt.Fprintln(os.Stderr, failure.From(err).Message)
		os.Exit(exitInvalidSettings)
	}
	os.Exit(run(loaded))
}

// flagName returns the name of the flag for a setting.
func flagName(setting string) string { return strings.ReplaceAll(setting, "_", "-") }

// overrides returns the settings that are given by flags.
func overrides(flags map[string]*string) []settings.Override {
	var given []settings.Override
	for _, name := range settings.NodeNames() {
		if *flags[name] != "" {
			given = append(given, settings.Override{Field: name, Value: *flags[name]})
		}
	}
	return given
}

// run starts a node, serves until the process is asked to stop, and returns the exit code.
func run(loaded settings.Node) int {
	log := newLog(loaded.LogLevel)
	client := platform.NewClient(&http.Client{}, loaded.PlatformURL)
	started, err := node.Start(node.Options{
		Settings: loaded, BackEnds: node.NewBackEnds(loaded), Store: client, Machines: client, Log: log,
	})
	if err != nil {
		log.WithField("failure", failure.CodeOf(err)).Error(err.Error())
		return exitFailed
	}
	stopRequested, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-stopRequested.Done()
	drainContext, cancel := context.WithTimeout(context.Background(), loaded.DrainTimeout)
	defer cancel()
	if !started.Stop(drainContext) {
		return exitDrainTimedOut
	}
	return exitOK
}

// newLog returns a log of the given level that writes JSON lines to standard error.
func newLog(level string) *logrus.Entry {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(os.Stderr)
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return logrus.NewEntry(log)
}
