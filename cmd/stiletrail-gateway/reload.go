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

// reloadInterval is the pause between two checks whether the settings file has changed.
const reloadInterval = 2 * time.Second

// reloader puts a changed settings file into force. text is the content of the file when it was last read, inForce has
// the settings in force. unreadable is set while the file cannot be read.
type reloader struct {
	file       string
	text       []byte
	unreadable bool
	inForce    settings.Gateway
	node       *gateway.Gateway
	store      *platform.StoreClient
	log        *decisionlog.Log
}

func newReloader(file string, loaded settings.Gateway, node *gateway.Gateway, store *platform.StoreClient, log *decisionlog.Log) *reloader {
	text, _ := os.ReadFile(file)
	return &reloader{file: file, text: text, inForce: loaded, node: node, store: store, log: log}
}

// reload reads the settings file and puts it into force if it has changed, or if force is set. A file that cannot be
// read or is invalid changes nothing. Some settings take effect only at a restart: the addresses at which the node
// serves, the name and the zone of the node, the log level, the window of existing retry budgets, and the
// intervals and timeouts for changes of the store, which are derived at the start.
func (r *reloader) reload(force bool) {
	text, err := os.ReadFile(r.file)
	if err != nil {
		r.refuseUnreadable(err, force)
		return
	}
	r.unreadable = false
	if !force && bytes.Equal(text, r.text) {
		return
	}
	r.text = text
	changed, err := settings.LoadGateway(r.file, nil)
	if err != nil {
		r.log.ReloadRefused(failure.From(err).Message)
		return
	}
	changed.Zone = r.inForce.Zone
	r.inForce = changed
	r.store.SetAddress(changed.StoreAddress)
	r.node.Reconfigure(gateway.FromSettings(changed))
	r.node.SetSeeds(changed.Seeds)
	r.log.Reloaded(changed, changed.IgnoredSettings())
}

// refuseUnreadable logs that the settings file cannot be read: once while that lasts, and each time a reload is forced.
func (r *reloader) refuseUnreadable(cause error, force bool) {
	if !r.unreadable || force {
		r.log.ReloadRefused("the settings file cannot be read: " + cause.Error())
	}
	r.unreadable = true
}
