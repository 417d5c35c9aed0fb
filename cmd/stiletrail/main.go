// Command stiletrail is the command-line client for callers and operators of the query tier.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/api"
	"stiletrail/internal/failure"
)

// Exit codes of all commands. exitHelp explains them to users.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitPartial  = 3
	exitNotRun   = 4
	exitUnknown  = 5
	exitConflict = 6
)

const exitHelp = `Exit codes: 0 complete or accepted, 1 failed, 2 usage or invalid input, 3 partial answer,
4 refused and proved not to have run, 5 outcome unknown, 6 conflict with another operator's change.`

// client has the flags that all commands share: the HTTP address of a node, the output format and the timeout.
type client struct {
	node    string
	output  string
	timeout time.Duration
}

// context returns a context that ends after the timeout of the command.
func (c *client) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.timeout)
}

// queryService returns the client of the node's API for callers.
func (c *client) queryService() stiletrailv1connect.QueryServiceClient {
	return stiletrailv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+c.node)
}

// operatorService returns the client of the node's API for operators.
func (c *client) operatorService() stiletrailv1connect.OperatorServiceClient {
	return stiletrailv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+c.node)
}

// command runs a command and returns its exit code, or an error that determines the exit code.
type command func(c *client) (int, error)

func main() {
	app := kingpin.New("stiletrail", "Client for the search, execute and intent APIs of a stiletrail query tier.\n\n"+exitHelp)
	shared := &client{}
	app.Flag("node", "HTTP address of a node.").Default("127.0.0.1:7101").Envar("STILETRAIL_NODE").StringVar(&shared.node)
	app.Flag("output", "human or json.").Default("human").EnumVar(&shared.output, "human", "json")
	app.Flag("timeout", "Timeout of the whole command.").Default("10s").DurationVar(&shared.timeout)
	commands := map[string]command{}
	addPlan(app, commands)
	addConfirm(app, commands)
	addStatus(app, commands)
	addSearch(app, commands)
	addExecute(app, commands)
	addCheckSettings(app, commands)
	addExplain(app, commands)
	addNodes(app, commands)
	chosen, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "stiletrail: %s, try --help\n", err)
		os.Exit(exitUsage)
	}
	code, err := commands[chosen](shared)
	if err != nil {
		code = shared.report(err)
	}
	os.Exit(code)
}

// exitCodeOf returns the exit code for a failure, by which a script decides what to do next.
func exitCodeOf(problem *failure.Failure) int {
	switch {
	case problem.Code == failure.InvalidArgument || problem.Code == failure.SettingsInvalid || problem.Code == failure.TicketInvalid:
		return exitUsage
	case problem.Code == failure.Conflict || problem.Code == failure.PlanMismatch:
		return exitConflict
	case problem.Code == failure.OutcomeUnknown:
		return exitUnknown
	case problem.NotRun:
		return exitNotRun
	}
	return exitFailed
}

// report prints a failure and returns its exit code.
func (c *client) report(err error) int {
	problem, detail := api.FromError(err)
	if c.output == "json" {
		c.printJSON(failureView{
			Code: string(problem.Code), Message: problem.Message, NotRun: problem.NotRun, SafeToRepeat: problem.SafeToRepeat(),
			RetryAfterMilliseconds: problem.RetryAfter.Milliseconds(), CurrentVersion: problem.CurrentVersion,
			Alternative: problem.Alternative,
		})
		return exitCodeOf(problem)
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", problem.Code, problem.Message)
	if problem.NotRun {
		fmt.Fprintln(os.Stderr, "no back end ran the request")
	}
	if problem.RetryAfter > 0 {
		fmt.Fprintf(os.Stderr, "retry after %s\n", problem.RetryAfter)
	}
	if problem.CurrentVersion > 0 {
		fmt.Fprintf(os.Stderr, "the version in force is %d\n", problem.CurrentVersion)
	}
	if problem.Alternative != "" {
		fmt.Fprintf(os.Stderr, "another node is %s (peer address)\n", problem.Alternative)
	}
	if coverage := detail.GetCoverage(); coverage.GetTotalKnown() {
		fmt.Fprintf(os.Stderr, "coverage was %d of %d shards\n", coverage.GetShardsAnswered(), coverage.GetShardsTotal())
	}
	return exitCodeOf(problem)
}
