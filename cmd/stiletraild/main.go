// Command stiletraild is a node of the query tier. Every node is equal: it serves callers and operators, dispatches to back
// ends, and reads the platform for its zone if it is the zone's relay.
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

// Exit codes.
const (
	exitOK        = 0
	exitFailed    = 1
	exitSettings  = 2
	exitUndrained = 3
)

func main() {
	app := kingpin.New("stiletraild", "A node of the stiletrail query tier. SIGTERM is a planned stop: nothing under way is cut off.")
	file := app.Flag("settings", "Settings file (YAML); see docs/OPERATIONS-stiletraild.md.").String()
	flags := map[string]*string{}
	for _, name := range settings.Names() {
		flags[name] = app.Flag(flagName(name), "Goes before "+name+" of the settings file.").String()
	}
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "stiletraild: %s, try --help\n", err)
		os.Exit(exitSettings)
	}
	loaded, err := settings.Load(*file, overrides(flags))
	if err != nil {
		fmt.Fprintln(os.Stderr, failure.From(err).Message)
		os.Exit(exitSettings)
	}
	os.Exit(run(loaded))
}

// flagName is the flag of a setting.
func flagName(setting string) string { return strings.ReplaceAll(setting, "_", "-") }

func overrides(flags map[string]*string) []settings.Override {
	var given []settings.Override
	for _, name := range settings.Names() {
		if *flags[name] != "" {
			given = append(given, settings.Override{Field: name, Value: *flags[name]})
		}
	}
	return given
}

func run(loaded settings.Settings) int {
	log := newLog(loaded.LogLevel)
	client := platform.NewClient(&http.Client{}, loaded.PlatformURL)
	started, err := node.Start(node.Options{
		Settings: loaded, BackEnds: node.NewBackEnds(loaded), Store: client, Machines: client, Log: log,
	})
	if err != nil {
		log.WithField("failure", failure.CodeOf(err)).Error(err.Error())
		return exitFailed
	}
	asked, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-asked.Done()
	bounded, cancel := context.WithTimeout(context.Background(), loaded.DrainTimeout)
	defer cancel()
	if !started.Stop(bounded) {
		return exitUndrained
	}
	return exitOK
}

func newLog(level string) *logrus.Entry {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(os.Stderr)
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return logrus.NewEntry(log)
}
