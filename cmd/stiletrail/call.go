package main

import (
	"fmt"
	"os"

	"connectrpc.com/connect"
	"github.com/alecthomas/kingpin/v2"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
)

// addSearch adds the command that searches all shards of a service.
func addSearch(app *kingpin.Application, commands map[string]command) {
	c := app.Command("search", "Search all shards of a service. Exit 0 if complete, 3 if partial.")
	service := c.Arg("service", "Service.").Required().String()
	text := c.Arg("query", "Query, passed to the back ends unchanged.").Default("").String()
	deadline := c.Flag("deadline", "Deadline; the service's own if not given.").Default("0s").Duration()
	minimumVersion := c.Flag("minimum-version", "Lowest index version that the answer may have.").Default("0").Uint64()
	commands[c.FullCommand()] = func(shared *client) (int, error) {
		ctx, cancel := shared.context()
		defer cancel()
		response, err := shared.queryService().Search(ctx, connect.NewRequest(&stiletrailv1.SearchRequest{
			Service: *service, Query: []byte(*text), DeadlineMilliseconds: uint32(deadline.Milliseconds()), MinimumVersion: *minimumVersion,
		}))
		if err != nil {
			return 0, err
		}
		shared.print(response.Msg, func() { printAnswer(response.Msg) })
		if coverage := response.Msg.GetCoverage(); coverage.GetShardsAnswered() < coverage.GetShardsTotal() {
			return exitPartial, nil
		}
		return exitOK, nil
	}
}

// printAnswer prints the documents to standard output and the coverage to standard error.
func printAnswer(answer *stiletrailv1.SearchResponse) {
	for _, document := range answer.GetDocuments() {
		fmt.Printf("%d\t%s\t%s\n", document.GetShard(), document.GetKey(), document.GetBody())
	}
	coverage := answer.GetCoverage()
	fmt.Fprintf(os.Stderr, "%d documents from %d of %d shards at version %d of epoch %d\n", len(answer.GetDocuments()),
		coverage.GetShardsAnswered(), coverage.GetShardsTotal(), answer.GetSnapshot().GetVersion(), answer.GetSnapshot().GetEpoch())
	for _, missing := range coverage.GetMissing() {
		fmt.Fprintf(os.Stderr, "missing shard %d: %s\n", missing.GetShard(), missing.GetReason())
	}
}

// addExecute adds the command that runs a request on one shard at most once.
func addExecute(app *kingpin.Application, commands map[string]command) {
	c := app.Command("execute", "Run a request that is not repeatable on the shard of its key, at most once per ticket.")
	service := c.Arg("service", "Service.").Required().String()
	key := c.Arg("key", "Key that picks the shard.").Required().String()
	body := c.Arg("body", "Request, passed to the back end unchanged.").Default("").String()
	ticket := c.Flag("ticket", "Ticket of an earlier attempt, in hexadecimal; a new one if not given.").HexBytes()
	deadline := c.Flag("deadline", "Deadline; the service's own if not given.").Default("0s").Duration()
	commands[c.FullCommand()] = func(shared *client) (int, error) {
		ctx, cancel := shared.context()
		defer cancel()
		used := *ticket
		if len(used) == 0 {
			minted, err := shared.queryService().MintTicket(ctx, connect.NewRequest(&stiletrailv1.MintTicketRequest{}))
			if err != nil {
				return 0, err
			}
			used = minted.Msg.GetTicket()
		}
		fmt.Fprintf(os.Stderr, "ticket %x\n", used)
		response, err := shared.queryService().Execute(ctx, connect.NewRequest(&stiletrailv1.ExecuteRequest{
			Service: *service, Key: *key, Body: []byte(*body), Ticket: used, DeadlineMilliseconds: uint32(deadline.Milliseconds()),
		}))
		if err != nil {
			return 0, err
		}
		shared.print(response.Msg, func() {
			fmt.Printf("done on shard %d: %s\n", response.Msg.GetShard(), response.Msg.GetResult())
		})
		return exitOK, nil
	}
}
