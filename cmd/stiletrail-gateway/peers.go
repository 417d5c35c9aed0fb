package main

import (
	"math/rand/v2"
	"time"

	"stiletrail/internal/gateway"
	"stiletrail/internal/membership"
	"stiletrail/internal/settings"
	"stiletrail/internal/transport"
)

// peerCloseTimeout is the longest time that closing the connections to other nodes may take when the process ends. A
// peer that does not answer must not delay the end of the process.
const peerCloseTimeout = 50 * time.Millisecond

// joinPeers listens for other nodes and makes the node a member of the fleet if the settings have a peer address. It
// returns the counters of the frames exchanged with other nodes, or nil without a peer address.
func joinPeers(node *gateway.Gateway, loaded settings.Gateway) (closePeers func(), frames *transport.Counters, err error) {
	if loaded.PeerAddress == "" {
		return func() {}, nil, nil
	}
	advertised := loaded.PeerAddress
	if loaded.PeerAdvertisedAddress != "" {
		advertised = loaded.PeerAdvertisedAddress
	}
	peers, err := transport.ListenWith(loaded.PeerAddress, advertised, transport.ControlSizes)
	if err != nil {
		return nil, nil, err
	}
	self := membership.Member{
		Address: advertised, Zone: loaded.Zone, Region: loaded.Regions[loaded.Zone], Generation: rand.Uint64(),
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	node.Join(self, loaded.Seeds, peers)
	peers.Serve(node)
	return func() { closeWithTimeout(peers) }, &peers.Counters, nil
}

// closeWithTimeout closes the connections to other nodes and returns after peerCloseTimeout at the latest.
func closeWithTimeout(peers *transport.Transport) {
	closed := make(chan struct{})
	go func() {
		peers.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(peerCloseTimeout):
	}
}
