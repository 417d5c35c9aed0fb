package quota

// lostShare is the part of the tokens of lost members that the members which the store lists as running may lend, so that the
// last node of a fleet serves a quarter of the limit at least. A lost member, if it runs, lends the other part.
const lostShare = 0.25

// Standing is what the store says of this process.
type Standing struct {
	// Listed is set once this process is listed, so that its successor knows of it.
	Listed bool
	// Running is set while the store lists this process as running, as of a moment ago.
	Running bool
	// Away is set if members do not reach this node.
	Away bool
	// RapidRestart is set if the process before this one had been running for so short a time that it lent the reserve.
	RapidRestart bool
	// LateStart is set if this process knew nobody for some time after its start, in which others may have taken over its pools.
	LateStart bool
	// MembersInDoubt is set if there may be members that this node does not reach.
	MembersInDoubt bool
}

// mayBeLost reports whether members that the store lists as running may take this node for lost.
func (s *Standing) mayBeLost() bool { return s != nil && !s.Running && s.MembersInDoubt }

// mayLendReserve reports whether a process that has just started may lend the reserve. Its predecessor may have lent it too,
// and its successor must not.
func (s *Standing) mayLendReserve() bool { return s == nil || s.Listed && !s.RapidRestart }
