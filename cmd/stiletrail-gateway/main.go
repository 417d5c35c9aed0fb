// Command stiletrail-gateway is a node of the query tier that asks back ends itself and learns the configuration and the
// back ends from the platform's store.
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
	"stiletrail/internal/serving"
	"stiletrail/internal/settings"
	"stiletrail/internal/telemetry"
	"stiletrail/platform"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
	exitCutShort = 3
)

// garbageTarget is the growth of the heap in percent at which garbage is collected: memory is dearer here than processor time.
const garbageTarget = 40

// logCloseTime bounds the writing of the last lines of the log.
const logCloseTime = 100 * time.Millisecond

func main() {
	app := kingpin.New("stiletrail-gateway", "A node of the stiletrail query tier on a platform. SIGTERM is a planned stop, SIGHUP reads the settings again.")
	file := app.Flag("settings", "Settings file (YAML); see docs/OPERATIONS.md.").Required().String()
	check := app.Flag("check", "Only check the settings.").Bool()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "stiletrail-gateway: %s, try --help\n", err)
		os.Exit(exitSettings)
	}
	loaded, err := settings.LoadGateway(*file, nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, failure.From(err).Message)
		os.Exit(exitSettings)
	}
	if *check {
		return
	}
	debug.SetGCPercent(garbageTarget)
	os.Exit(run(*file, loaded))
}

// run joins the parts of a gateway, serves until the process is to end, and returns the exit code.
func run(file string, loaded settings.Gateway) int {
	writer := decisionlog.NewWriter(os.Stdout)
	defer writer.Close(logCloseTime)
	level, _ := logrus.ParseLevel(loaded.LogLevel)
	log := decisionlog.New(writer, level, loaded.Node)
	pool := exchange.NewPool()
	measured := telemetry.New(log)
	pool.OnConnected = measured.RecordConnectTime
	store := platform.NewStoreClient(loaded.StoreAddress)
	backEnds := platform.NewBackEnds(pool)
	node := gateway.New(gateway.FromSettings(loaded), backEnds, store, measured)
	addresses := serving.Addresses{Callers: loaded.CallerAddress, Ready: loaded.ReadyAddress, Metrics: loaded.MetricsAddress}
	server, err := serving.Start(node, addresses, platform.NewIngress(node), measured, log)
	if err != nil {
		log.Stopped(err.Error())
		return exitFailed
	}
	closePeers, frames, err := join(node, loaded)
	if err != nil {
		log.Stopped(err.Error())
		return exitFailed
	}
	defer closePeers()
	measured.RegisterGauges(telemetry.GaugeSource{
		Gateway: node, BackEndConnections: pool.OpenCount.Load, BackEndConnectionsOpened: pool.OpenedTotal.Load,
		LogLinesDropped: writer.Dropped, MalformedLoads: backEnds.MalformedLoads, PeerFrames: frames,
	})
	log.Started(loaded, loaded.IgnoredSettings())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go node.Run(ctx)
	return wait(newReloader(file, loaded, node, store, log), server, log)
}

// wait handles signals until the node stops.
func wait(settingsFile *reloader, server *serving.Server, log *decisionlog.Log) int {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			settingsFile.look(false)
		case err := <-server.Failed():
			log.Stopped(err.Error())
			return exitFailed
		case received := <-signals:
			if received == syscall.SIGHUP {
				settingsFile.look(true)
				continue
			}
			log.Stopped(received.String())
			if !server.Stop(settingsFile.inUse.StopWithin) {
				return exitCutShort
			}
			return exitOK
		}
	}
}
