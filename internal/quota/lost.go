package quota

// lostShare is the part of the tokens of lost members that the members which the store lists as running may lend, so that the
// last node of a fleet serves a quarter of the limit at least.
const lostShare = 0.25
