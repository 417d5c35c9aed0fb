package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/failure"
	"stiletrail/internal/platform"
	"stiletrail/internal/rehearsal"
	"stiletrail/internal/standin"
)

// untilSignal blocks until the process is asked to stop.
func untilSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}

func addQuickstart(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("quickstart", "Run the main job in one process: three zones, the platform and back ends, with failures. Ends by itself within a minute.")
	verbose := command.Flag("verbose", "Write the nodes' logs to standard error.").Bool()
	commands[command.FullCommand()] = func() error {
		var log io.Writer = io.Discard
		if *verbose {
			log = os.Stderr
		}
		summary, err := rehearsal.Quickstart(os.Stdout, log)
		if err != nil {
			return err
		}
		if !summary.Ok {
			return failure.New(failure.Internal, "the quickstart found wrong answers")
		}
		return nil
	}
}

func addPlatform(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("platform", "Serve a stand-in of the key-value service and the machine list. POST /control?down=true|slow=2s|lose-answers=1 sets faults.")
	listen := command.Flag("listen", "IP address and port.").Default("127.0.0.1:7900").String()
	rate := command.Flag("rate", "Requests per second; 0 for no limit.").Default("200").Float64()
	lag := command.Flag("machine-list-lag", "Age of the machine list that is given out.").Default("5s").Duration()
	machines := command.Flag("machine", "A machine as ADDRESS,ZONE,node|backend; repeatable.").Strings()
	commands[command.FullCommand()] = func() error {
		started, err := rehearsal.StartPlatform(*listen, rehearsal.PlatformOptions{RequestsPerSecond: *rate, MachineListLag: *lag})
		if err != nil {
			return err
		}
		defer started.Close()
		list, err := parseMachines(*machines)
		if err != nil {
			return err
		}
		started.SetMachines(list)
		fmt.Println("platform at", started.URL())
		untilSignal()
		return nil
	}
}

func parseMachines(texts []string) ([]platform.Machine, error) {
	roles := map[string]platform.Role{"node": platform.RoleNode, "backend": platform.RoleBackEnd}
	var list []platform.Machine
	for _, text := range texts {
		parts := strings.Split(text, ",")
		if len(parts) != 3 || roles[parts[2]] == platform.RoleUnknown {
			return nil, failure.New(failure.InvalidArgument, "machine: found "+text+", allowed is ADDRESS,ZONE,node|backend")
		}
		list = append(list, platform.Machine{Address: parts[0], Zone: parts[1], Role: roles[parts[2]]})
	}
	return list, nil
}

func addBackEnd(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("backend", "Serve a stand-in of a back end. POST /control?state=draining|cold|serving&version=7&straggler-factor=20 changes it.")
	listen := command.Flag("listen", "IP address and port.").Default("127.0.0.1:7800").String()
	service := command.Flag("service", "Service.").Required().String()
	keys := command.Flag("keys", "Documents of the whole index.").Default("24").Int()
	slots := command.Flag("slots", "Requests worked on at once.").Default("5").Int()
	connections := command.Flag("connections", "Connections accepted.").Default("75").Int()
	shards := command.Flag("shards", "Shards held, as 0,1.").Required().String()
	total := command.Flag("shards-total", "Shards of the whole index.").Required().Uint32()
	median := command.Flag("median", "Median service time.").Default("4ms").Duration()
	chance := command.Flag("straggler-chance", "Share of requests that straggle.").Default("0").Float64()
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

func addLoad(app *kingpin.Application, commands map[string]func() error) {
	command := app.Command("load", "Send searches at a rate that does not wait for answers, and report as JSON.")
	nodes := command.Flag("node", "HTTP address of a node; repeatable.").Default("127.0.0.1:7101").Strings()
	service := command.Flag("service", "Service.").Required().String()
	rate := command.Flag("rate", "Searches per second.").Default("100").Float64()
	duration := command.Flag("duration", "How long.").Default("5s").Duration()
	keys := command.Flag("keys", "Documents of the stand-in's index, to check answers by; 0 for no check.").Default("0").Int()
	total := command.Flag("shards-total", "Shards of the stand-in's index in epoch 1.").Default("0").Uint32()
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
			return failure.New(failure.Internal, "wrong answers were found")
		}
		return nil
	}
}
