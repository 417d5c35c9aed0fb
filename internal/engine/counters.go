package engine

// Counters holds the totals of a node since it started.
type Counters struct {
	// Searches counts the searches received. Each ends as one of Complete, Partial, Refused (as not run) or Failed.
	Searches uint64
	Complete uint64
	Partial  uint64
	Refused  uint64
	Failed   uint64
	// Executes counts the requests that are not repeatable and were received by this node, which minted their tickets.
	// UnknownOutcomes counts those that ended without proof whether they ran.
	Executes        uint64
	UnknownOutcomes uint64
	// StoreFailures counts the failed listings of the store.
	StoreFailures uint64
	// Freezes counts how often the process was frozen for longer than freezeGap.
	Freezes uint64
}
