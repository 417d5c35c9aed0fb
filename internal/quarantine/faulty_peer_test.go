package quarantine_test

import (
	"testing"

	"stiletrail/internal/message"
	"stiletrail/internal/quarantine"
)

// TestPeerDoesNotExemptRequest guards against a faulty peer that marks a request as a resource or a caller, which are never
// put under quarantine: what this node knows of the request itself decides.
func TestPeerDoesNotExemptRequest(t *testing.T) {
	core, id := newCore(), requestBy("a", "x")
	core.RecordCrash(10, id, crashOf("s", "1", 0, 10))
	core.RecordCrash(20, id, crashOf("s", "2", 10, 20))
	for _, fingerprint := range []quarantine.Fingerprint{id.Request, id.CallerRequest} {
		core.Receive(20, 20, &message.Evidence{Requests: []message.RequestEvidence{{
			Fingerprint: fingerprint, Aggregate: true,
			Crashes: []message.Crash{{Service: "s", BackEnd: "3", Version: "v1", StartedAgoMs: 0, CrashedAgoMs: 0}},
		}}})
	}
	if got := core.Verdict(20, id); got != quarantine.Quarantined {
		t.Errorf("the verdict is %v after three rounds, the last of them told by a peer as one of a caller; want quarantined", got)
	}
}
