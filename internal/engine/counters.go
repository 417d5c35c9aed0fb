package engine

// Counters count what a node did since it started.
type Counters struct {
	Searches        uint64
	Complete        uint64
	Partial         uint64
	Refused         uint64
	Failed          uint64
	Executes        uint64
	UnknownOutcomes uint64
	StoreFailures   uint64
	Freezes         uint64
}
