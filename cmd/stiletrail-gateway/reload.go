package main

import (
	"bytes"
	"os"
	"time"

	"stiletrail/internal/decisionlog"
	"stiletrail/internal/failure"
	"stiletrail/internal/gateway"
	"stiletrail/internal/settings"
	"stiletrail/platform"
)

// reloadInterval is the pause between looks whether the settings file has changed without a signal.
const reloadInterval = 2 * time.Second

// reloader puts a changed settings file in force.
type reloader struct {
	file  string
	text  []byte
	inUse settings.Gateway
	node  *gateway.Gateway
	store *platform.StoreClient
	log   *decisionlog.Log
}

func newReloader(file string, loaded settings.Gateway, node *gateway.Gateway, store *platform.StoreClient, log *decisionlog.Log) *reloader {
	text, _ := os.ReadFile(file)
	return &reloader{file: file, text: text, inUse: loaded, node: node, store: store, log: log}
}

// look reads the file and puts it in force if it has changed, or in any case if it was asked for. A file that cannot be read or
// is not valid changes nothing. Some of what it says holds until a restart: addresses, seeds, the node's name and zone, the level of the log, the window of
// retry budgets that there are, and the waits for news of the store that were derived at the start.
func (r *reloader) look(asked bool) {
	text, err := os.ReadFile(r.file)
	if err != nil || (!asked && bytes.Equal(text, r.text)) {
		return
	}
	r.text = text
	changed, err := settings.LoadGateway(r.file, nil)
	if err != nil {
		r.log.ReloadRefused(failure.From(err).Message)
		return
	}
	changed.Zone = r.inUse.Zone
	r.inUse = changed
	r.store.SetAddress(changed.StoreAddress)
	r.node.Reconfigure(gateway.FromSettings(changed))
	r.log.Reloaded(changed, changed.IgnoredSettings())
}
