package limit

// Need is what a request lacks when it asks for an extra attempt. An extra attempt is worth what it decides: it is lost
// if the request fails all the same, and worth little if the request succeeds without it.
type Need struct {
	// Missing is how many shards must still answer for the request to succeed.
	Missing int
	// Extras is how many of these can't answer without one more extra attempt each. It is 0 if the request may succeed
	// without the attempt.
	Extras int
	// Available is how many of the shards that lack an extra attempt belong to services whose budgets still have one. It
	// is known only while the extra attempts of the service are few.
	Available int
	// Rank is the rank of the request; 0 is the most urgent.
	Rank int
	// Hedge is set for a hedge, which only saves time, and not for a retry.
	Hedge bool
}

// While less than a number of extra attempts is left, those that are worth less must leave a part of that number. The
// parts add up to less than 1, which is what an attempt must leave that decides nothing, and each is larger than the sum
// of those after it: how many extra attempts the request needs counts first, then its rank, then whether it is a hedge.
const (
	severalExtrasPart = 0.5
	lowerRankPart     = 0.25
	hedgePart         = 0.125
)

// CanBeMet reports whether the budgets have an extra attempt for each that the request needs.
func (n Need) CanBeMet() bool { return n.Extras <= n.Available }

// LeastLeft returns how many extra attempts the budget of the service must have left for this need, if the last ones,
// a number of lastExtras beyond the one asked for, go to where they decide most.
func (n Need) LeastLeft(lastExtras int) float64 {
	return 1 + n.partToLeave()*float64(lastExtras)
}

// partToLeave returns the part of the last extra attempts that must be left to requests whose need is more urgent.
func (n Need) partToLeave() (part float64) {
	if n.Extras == 0 {
		return 1
	}
	if n.Extras > 1 {
		part += severalExtrasPart
	}
	if n.Rank > 0 {
		part += lowerRankPart
	}
	if n.Hedge {
		part += hedgePart
	}
	return part
}
