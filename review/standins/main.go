// Command review-standins plays the cases of the review: it starts gateways as separate processes on loopback addresses,
// with stand-ins for the platform's store, the back ends and the callers, and judges what callers and back ends saw.
//
// It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCouldnt = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins CASE FOLDER")
		os.Exit(exitCouldnt)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// cases are the cases by name. A case plays its traffic and returns the violations of its rule.
var cases = map[string]func(*deployment, bool) []string{
	"refused-surplus": playRefusedSurplus,
	"early-bytes":     playEarlyBytes,
	"endless-head":    playEndlessHead,
}

// play runs a case in a fresh deployment and writes its record into a folder.
func play(name, folder string) (code int) {
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := newDeployment(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldnt
	}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.close()
		os.Exit(exitCouldnt)
	}()
	defer func() {
		if failed := recover(); failed != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", failed)
			code = exitCouldnt
		}
	}()
	violations := cases[name](d, trouble)
	for _, violation := range violations {
		d.record.note("VIOLATION %s", violation)
		fmt.Println(violation)
	}
	fmt.Printf("%s: trouble %v, %s, %d violations\n", name, trouble, d.record.counts(), len(violations))
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
