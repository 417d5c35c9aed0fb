// Command stiletrail-gateway is a node of the query tier that sends requests to back ends itself and reads the
// configuration and the entries of the back ends from the platform's store.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"stiletrail/internal/decisionlog"
	"stiletrail/internal/exchange"
	"stiletrail/internal/failure"
	"stiletrail/internal/gateway"
	"stiletrail/internal/membudget"
	"stiletrail/internal/serving"
	"stiletrail/internal/settings"
	"stiletrail/internal/telemetry"
	"stiletrail/platform"
)

// Exit codes. exitDrainTimedOut means that requests were still in flight at the end of stop_within.
const (
	exitOK              = 0
	exitFailed          = 1
	exitInvalidSettings = 2
	exitDrainTimedOut   = 3
)

// garbageCollectionPercent is the growth of the heap, in percent, at which garbage is collected. It is below the
// default of the Go runtime because memory is more expensive here than processor time.
const garbageCollectionPercent = 40

// bodyMemoryDivisor is n where the bodies of requests and answers may take one n-th of the process's memory. The rest is
// for the copy of the store, connections, heads of messages and garbage.
const bodyMemoryDivisor = 4

// logCloseTimeout is the longest time that the last lines of the log may take to be written when the process ends.
const logCloseTimeout = 100 * time.Millisecond

func main() {
	app := kingpin.New("stiletrail-gateway", "A node of the stiletrail query tier on a platform. SIGTERM starts a planned stop, SIGHUP reloads the settings.")
	file := app.Flag("settings", "Settings file (YAML); see docs/OPERATIONS.md.").Required().String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "stiletrail-gateway: %s, try --help\n", err)
		os.Exit(exitInvalidSettings)
	}
	loaded, err := settings.LoadGateway(*file, nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, failure.From(err).Message)
		os.Exit(exitInvalidSettings)
	}
	if *check {
		return
	}
	debug.SetGCPercent(garbageCollectionPercent)
	os.Exit(run(*file, loaded))
}

// run starts a gateway, serves until the process is asked to stop or fails, and returns the exit code.
func run(file string, loaded settings.Gateway) int {
	writer := decisionlog.NewWriter(os.Stdout)
	defer writer.Close(logCloseTimeout)
	level, _ := logrus.ParseLevel(loaded.LogLevel)
	log := decisionlog.New(writer, level, loaded.Node)
	pool := exchange.NewPool()
	metrics := telemetry.New(log)
	pool.OnConnected = metrics.RecordConnectTime
	bodyMemory := membudget.New(int64(loaded.MemoryMB) << 20 / bodyMemoryDivisor)
	store := platform.NewStoreClient(loaded.StoreAddress)
	backEnds := platform.NewBackEnds(pool)
	node := gateway.New(gateway.FromSettings(loaded), backEnds, store, metrics)
	addresses := serving.Addresses{Callers: loaded.CallerAddress, Ready: loaded.ReadyAddress, Metrics: loaded.MetricsAddress}
	server, err := serving.Start(node, addresses, platform.NewIngress(node, bodyMemory), metrics, log)
	if err != nil {
		log.Stopped(err.Error())
		return exitFailed
	}
	closePeers, frames, err := joinPeers(node, loaded)
	if err != nil {
		log.Stopped(err.Error())
		return exitFailed
	}
	defer closePeers()
	metrics.RegisterGauges(telemetry.GaugeSource{
		Gateway: node, BackEndConnections: pool.OpenCount.Load, BackEndConnectionsOpened: pool.OpenedTotal.Load,
		LogLinesDropped: writer.Dropped, MalformedLoads: backEnds.MalformedLoads, OversizedAnswers: pool.OversizedTotal.Load,
		BodyMemory: bodyMemory, PeerFrames: frames,
	})
	log.Started(loaded, loaded.IgnoredSettings())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go node.Run(ctx)
	return wait(newReloader(file, loaded, node, store, log), server, log)
}

// wait reloads changed settings and handles signals until the node stops. It returns the exit code.
func wait(settingsReloader *reloader, server *serving.Server, log *decisionlog.Log) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			settingsReloader.reload(false)
		case err := <-server.Failed():
			log.Stopped(err.Error())
			return exitFailed
		case received := <-signals:
			if received == syscall.SIGHUP {
				settingsReloader.reload(true)
				continue
			}
			log.Stopped(received.String())
			if !server.Stop(settingsReloader.inForce.StopWithin) {
				return exitDrainTimedOut
			}
			return exitOK
		}
	}
}
