package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"stiletrail/internal/rehearsal"
	"stiletrail/internal/standin"
)

// addBackEnd adds the command that serves a stand-in back end.
func addBackEnd(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("backend", "Serve a stand-in back end. POST /control?state=draining|cold|serving&version=7&straggler-factor=20 changes it.")
	listen := command.Flag("listen", "IP address and port.").Default("127.0.0.1:7800").String()
	service := command.Flag("service", "Service.").Required().String()
	keys := command.Flag("keys", "Number of documents in the whole index.").Default("24").Int()
	slots := command.Flag("slots", "Largest number of requests processed at once.").Default("5").Int()
	connections := command.Flag("connections", "Largest number of connections accepted.").Default("75").Int()
	shards := command.Flag("shards", "Shards of this back end, such as 0,1.").Required().String()
	total := command.Flag("shards-total", "Number of shards of the whole index.").Required().Uint32()
	median := command.Flag("median", "Median service time.").Default("4ms").Duration()
	chance := command.Flag("straggler-chance", "Share of requests that take much longer.").Default("0").Float64()
	commands[command.FullCommand()] = func() error {
		const sigma, stragglerFactor = 0.35, 20
		started, err := rehearsal.StartBackEnd(*listen, rehearsal.BackEndOptions{
			Service: *service, Keys: *keys, Slots: *slots, Connections: *connections, Shards: rehearsal.ParseShards(*shards), Total: *total,
			Latency: standin.Latency{Median: *median, Sigma: sigma, StragglerChance: *chance, StragglerFactor: stragglerFactor},
		})
		if err != nil {
			return err
		}
		defer started.Close()
		fmt.Println("back end at", started.Address())
		untilSignal()
		return nil
	}
}
