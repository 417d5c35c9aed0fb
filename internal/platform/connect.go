package platform

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/api/stiletrail/v1/stiletrailv1connect"
	"stiletrail/internal/failure"
)

// maximumResponse is the largest size of a response from the platform, in bytes.
const maximumResponse = 64 << 20

// Client sends requests to the platform's services over the connect protocol. It implements Store and MachineList.
type Client struct {
	store    stiletrailv1connect.KeyValueServiceClient
	machines stiletrailv1connect.MachineListServiceClient
}

// NewClient returns a client for the platform at the base URL.
func NewClient(client *http.Client, baseURL string) *Client {
	limit := connect.WithReadMaxBytes(maximumResponse)
	return &Client{
		store:    stiletrailv1connect.NewKeyValueServiceClient(client, baseURL, limit),
		machines: stiletrailv1connect.NewMachineListServiceClient(client, baseURL, limit),
	}
}

// readFailure returns the failure for an error of a request that changes nothing.
func readFailure(err error) error {
	return failure.Wrap(err, failure.StoreUnavailable, "the platform did not answer")
}

// writeFailure returns the failure for an error of a write. Only a refusal by the store itself proves that nothing was
// written; after any other error the write may have taken effect.
func writeFailure(err error) error {
	var refused *connect.Error
	if errors.As(err, &refused) && connect.IsWireError(err) && refused.Code() == connect.CodeResourceExhausted {
		return failure.Wrap(err, failure.StoreUnavailable, "the store refused the write")
	}
	return failure.Wrap(err, failure.OutcomeUnknown, "the store did not answer the write")
}

func toEntry(entry *stiletrailv1.Entry) Entry {
	return Entry{Key: entry.GetKey(), Stamp: Stamp{Era: entry.GetEra(), Version: entry.GetVersion()}, Value: entry.GetValue()}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	response, err := c.store.Get(ctx, connect.NewRequest(&stiletrailv1.GetRequest{Key: key}))
	if err != nil {
		return Entry{}, false, readFailure(err)
	}
	entry := toEntry(response.Msg.GetEntry())
	entry.Era = response.Msg.GetEra()
	return entry, response.Msg.GetEntry() != nil, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	response, err := c.store.List(ctx, connect.NewRequest(&stiletrailv1.ListRequest{Prefix: prefix, KeysOnly: true}))
	if err != nil {
		return nil, readFailure(err)
	}
	entries := make([]Entry, 0, len(response.Msg.GetEntries()))
	for _, entry := range response.Msg.GetEntries() {
		entries = append(entries, toEntry(entry))
	}
	return entries, nil
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, base Stamp, value []byte) (Entry, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	request := &stiletrailv1.CompareAndSwapRequest{Key: key, BaseVersion: base.Version, BaseEra: base.Era, Value: value}
	response, err := c.store.CompareAndSwap(ctx, connect.NewRequest(request))
	if err != nil {
		return Entry{}, false, writeFailure(err)
	}
	return toEntry(response.Msg.GetEntry()), response.Msg.GetSwapped(), nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, changed func(Entry)) error {
	stream, err := c.store.Watch(ctx, connect.NewRequest(&stiletrailv1.WatchRequest{Prefix: prefix}))
	if err != nil {
		return readFailure(err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		changed(toEntry(stream.Msg().GetEntry()))
	}
	return readFailure(errors.Join(stream.Err(), context.Cause(ctx), errWatchEnded))
}

// errWatchEnded is the error of a watch that the store closed without an error of its own.
var errWatchEnded = failure.New(failure.StoreUnavailable, "the store closed the watch")

// Machines implements MachineList.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	response, err := c.machines.ListMachines(ctx, connect.NewRequest(&stiletrailv1.ListMachinesRequest{}))
	if err != nil {
		return nil, readFailure(err)
	}
	machines := make([]Machine, 0, len(response.Msg.GetMachines()))
	for _, machine := range response.Msg.GetMachines() {
		machines = append(machines, Machine{
			Address: machine.GetAddress(), Zone: machine.GetZone(), Role: Role(machine.GetRole()), Leaving: machine.GetLeaving(),
		})
	}
	return machines, nil
}
