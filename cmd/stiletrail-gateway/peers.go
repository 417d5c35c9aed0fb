package main

import (
	"math/rand/v2"
	"time"

	"stiletrail/internal/gateway"
	"stiletrail/internal/membership"
	"stiletrail/internal/settings"
	"stiletrail/internal/transport"
)

// peerCloseTime is for the end of connections to other nodes; a peer that does not answer must not hold up the end of the process.
const peerCloseTime = 50 * time.Millisecond

// join listens for other nodes and makes the node a member, where the settings name an address for that. It returns the count of what is
// exchanged with them, nil where they name none.
func join(node *gateway.Gateway, loaded settings.Gateway) (closePeers func(), frames *transport.Counters, err error) {
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
	return func() { closeSoon(peers) }, &peers.Counters, nil
}

// closeSoon closes the connections to other nodes, and waits for that no longer than peerCloseTime.
func closeSoon(peers *transport.Transport) {
	closed := make(chan struct{})
	go func() {
		peers.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(peerCloseTime):
	}
}
