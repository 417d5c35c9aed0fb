package transport

import "stiletrail/internal/message"

// peerVersion returns the version of the messages that the peer at an address reads.
func (t *Transport) peerVersion(address string) message.Version {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.versions[address]
}

func (t *Transport) setPeerVersion(address string, version message.Version) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.versions[address] = version
}

func (t *Transport) forgetPeerVersion(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.versions, address)
}
