// Command standins-2 plays the cases of the second review: it starts gateways as processes, and stand-ins for the store,
// back ends, clients and the platform, disturbs them, and checks one rule by what the stand-ins have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scene is what a case needs to run.
type scene struct {
	record *record
	// program is the gateway, folder a temporary folder for settings and logs.
	program, folder string
	// trouble is false if the case is played without its disruption.
	trouble bool
}

// cases has the cases by name. Each returns what it has seen of the rule, and whether the rule was broken.
var cases = map[string]func(*scene) (seen string, broken bool, err error){
	"quota-one-restart": playQuotaOneRestart,
	"quota-restarts":    playQuotaRestarts,
	"quota-cut":         playQuotaCut,
	"survivor":          playSurvivor,
	"large-changes":     playLargeChanges,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE GATEWAY-PROGRAM RECORD-FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, file string) int {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	program, _ = filepath.Abs(program)
	s := &scene{record: newRecord(), program: program, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	seen, broken, err := cases[name](s)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	s.record.add("verdict broken=%v %s", broken, seen)
	if err := s.record.write(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Printf("broken=%v %s\n", broken, seen)
	if broken {
		return exitBroken
	}
	return exitHeld
}
