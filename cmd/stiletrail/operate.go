package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/internal/failure"
	"stiletrail/internal/settings"
)

// failureView is the JSON output for a failure.
type failureView struct {
	Code                   string `json:"code"`
	Message                string `json:"message"`
	NotRun                 bool   `json:"not_run"`
	SafeToRepeat           bool   `json:"safe_to_repeat"`
	RetryAfterMilliseconds int64  `json:"retry_after_ms,omitempty"`
	CurrentVersion         uint64 `json:"current_version,omitempty"`
	Alternative            string `json:"alternative,omitempty"`
}

// print prints a value in the output format of the command: as JSON, or as text with printText.
func (c *client) print(value any, printText func()) {
	if c.output == "json" {
		c.printJSON(value)
		return
	}
	printText()
}

func (c *client) printJSON(value any) {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// readIntent reads the file of an intent.
func readIntent(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidArgument, "cannot read the intent: "+err.Error())
	}
	return text, nil
}

// addPlan adds the command that shows what an intent would change.
func addPlan(app *kingpin.Application, commands map[string]command) {
	c := app.Command("plan", "Show what an intent would change. Nothing changes until the plan is confirmed.")
	file := c.Arg("intent", "File with the intent, YAML or JSON.").Required().String()
	commands[c.FullCommand()] = func(shared *client) (int, error) {
		text, err := readIntent(*file)
		if err != nil {
			return 0, err
		}
		ctx, cancel := shared.context()
		defer cancel()
		response, err := shared.operatorService().Plan(ctx, connect.NewRequest(&stiletrailv1.PlanRequest{Intent: text}))
		if err != nil {
			return 0, err
		}
		shared.print(response.Msg, func() { printPlan(*file, response.Msg) })
		return exitOK, nil
	}
}

func printPlan(file string, plan *stiletrailv1.PlanResponse) {
	fmt.Printf("plan for %s on version %d\n", plan.GetService(), plan.GetBaseVersion())
	for _, change := range plan.GetChanges() {
		fmt.Println("  -", change)
	}
	for _, warning := range plan.GetWarnings() {
		fmt.Println("  warning:", warning)
	}
	expires := time.Unix(plan.GetExpiresUnixSeconds(), 0).UTC()
	fmt.Printf("affects %d back ends; valid until %s\n", len(plan.GetBackEnds()), expires.Format(time.RFC3339))
	fmt.Printf("confirm with: stiletrail confirm %s --base %d --digest %s --expires %d\n",
		file, plan.GetBaseVersion(), plan.GetDigest(), plan.GetExpiresUnixSeconds())
}

// addConfirm adds the command that puts a plan into force.
func addConfirm(app *kingpin.Application, commands map[string]command) {
	c := app.Command("confirm", "Put a plan into force. Exit 6 if another change came first; exit 5 if the outcome is unknown: "+
		"repeat with the same --operation.")
	file := c.Arg("intent", "The file that was planned.").Required().String()
	base := c.Flag("base", "Base version of the plan.").Required().Uint64()
	digest := c.Flag("digest", "Digest of the plan.").Required().String()
	expires := c.Flag("expires", "Expiry of the plan, as printed by plan.").Required().Int64()
	operation := c.Flag("operation", "Id of this operation; a random one if not given.").String()
	commands[c.FullCommand()] = func(shared *client) (int, error) {
		text, err := readIntent(*file)
		if err != nil {
			return 0, err
		}
		if *operation == "" {
			*operation = rand.Text()
		}
		ctx, cancel := shared.context()
		defer cancel()
		response, err := shared.operatorService().Confirm(ctx, connect.NewRequest(&stiletrailv1.ConfirmRequest{
			Intent: text, BaseVersion: *base, Digest: *digest, ExpiresUnixSeconds: *expires, Operation: *operation,
		}))
		if err != nil {
			fmt.Fprintln(os.Stderr, "operation", *operation)
			return 0, err
		}
		shared.print(response.Msg, func() {
			fmt.Printf("accepted: %s is at version %d, replicated to %d more nodes in %d zones\n",
				response.Msg.GetService(), response.Msg.GetVersion(), response.Msg.GetCopies(), response.Msg.GetCopyZones())
		})
		return exitOK, nil
	}
}

// addStatus adds the command that shows on how many nodes each version is in force.
func addStatus(app *kingpin.Application, commands map[string]command) {
	c := app.Command("status", "Show on how many nodes the version of each service is in force.")
	service := c.Arg("service", "Only this service.").String()
	commands[c.FullCommand()] = func(shared *client) (int, error) {
		ctx, cancel := shared.context()
		defer cancel()
		response, err := shared.operatorService().Status(ctx, connect.NewRequest(&stiletrailv1.StatusRequest{Service: *service}))
		if err != nil {
			return 0, err
		}
		shared.print(response.Msg, func() { printStatus(response.Msg) })
		return exitOK, nil
	}
}

func printStatus(status *stiletrailv1.StatusResponse) {
	fmt.Printf("node %s in %s, ready %t, %d members alive\n",
		status.GetNode(), status.GetZone(), status.GetReady(), status.GetMembersAlive())
	if age := status.GetConfigurationAgeMilliseconds(); age >= 0 {
		fmt.Printf("configuration last confirmed equal to the store's %s ago\n", time.Duration(age)*time.Millisecond)
	} else {
		fmt.Println("configuration not yet compared with the store")
	}
	for _, service := range status.GetServices() {
		state := ""
		if service.GetDeleted() {
			state = " (deleted)"
		}
		fmt.Printf("  %-24s version %d%s in force on %d of %d nodes\n",
			service.GetService(), service.GetVersion(), state, service.GetNodesInForce(), service.GetNodesAsked())
		for _, address := range service.GetUnreachable() {
			fmt.Println("    unreachable:", address)
		}
	}
	for _, alarm := range status.GetAlarms() {
		fmt.Println("alarm:", alarm)
	}
}

// addCheckSettings adds the command that validates a settings file.
func addCheckSettings(app *kingpin.Application, commands map[string]command) {
	c := app.Command("check-settings", "Check a node's settings file and list all problems.")
	file := c.Arg("file", "Settings file.").Required().String()
	commands[c.FullCommand()] = func(shared *client) (int, error) {
		loaded, err := settings.LoadNode(*file, nil)
		if err != nil {
			return 0, err
		}
		shared.print(loaded, func() {
			fmt.Println("the settings are valid")
		})
		return exitOK, nil
	}
}
