package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/failure"
	"stiletrail/internal/rehearsal"
	"stiletrail/internal/standin"
)

// addLoad adds the command that generates load and checks the answers.
func addLoad(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("load", "Send searches at a fixed rate, without waiting for answers, and report as JSON.")
	nodes := command.Flag("node", "HTTP address of a node; repeatable.").Default("127.0.0.1:7101").Strings()
	service := command.Flag("service", "Service.").Required().String()
	rate := command.Flag("rate", "Searches per second.").Default("100").Float64()
	duration := command.Flag("duration", "Duration of the load.").Default("5s").Duration()
	keys := command.Flag("keys", "Number of documents in the stand-in index, to check answers; 0 for no check.").Default("0").Int()
	total := command.Flag("shards-total", "Number of shards of the stand-in index in epoch 1.").Default("0").Uint32()
	commands[command.FullCommand()] = func() error {
		const maximumOutstanding = 4096
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
		var clients []stiletrailv1connect.QueryServiceClient
		for _, address := range *nodes {
			clients = append(clients, stiletrailv1connect.NewQueryServiceClient(client, "http://"+address))
		}
		options := rehearsal.LoadOptions{
			Service: *service, Rate: *rate, Duration: *duration, MaximumOutstanding: maximumOutstanding, Seed: uint64(time.Now().UnixNano()),
		}
		if *keys > 0 {
			options.Index = &standin.Index{Service: *service, Keys: *keys}
			options.Totals = map[uint64]uint32{1: *total}
		}
		report := rehearsal.RunLoad(context.Background(), clients, options)
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return failure.From(err)
		}
		if report.Wrong > 0 {
			return failure.New(failure.Internal, "the load got wrong answers; the field wrong of the report has their number")
		}
		return nil
	}
}
