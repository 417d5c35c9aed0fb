package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"stiletrail/internal/catalog"
	"stiletrail/internal/failure"
)

// PlanLifetime is how long a plan may be confirmed. It only keeps operators from confirming what they have
// forgotten; which plan wins is decided by the base version alone.
const PlanLifetime = 15 * time.Minute

// Plan is what confirming an intent would change.
type Plan struct {
	Service     string
	BaseVersion uint64
	// ExpiresUnixSeconds is wall-clock time.
	ExpiresUnixSeconds int64
	Digest             string
	Changes            []string
	BackEnds           []string
	Warnings           []string
}

// NewPlan compares an intent with the document in force (the zero document where there is none).
func NewPlan(intent Intent, base catalog.Document, expiresUnixSeconds int64) Plan {
	plan := Plan{Service: intent.Service, BaseVersion: base.Version, ExpiresUnixSeconds: expiresUnixSeconds}
	plan.Digest = digest(intent, base.Version, expiresUnixSeconds)
	plan.compare(intent, base)
	plan.warn(intent, base)
	return plan
}

func digest(intent Intent, base uint64, expires int64) string {
	canonical := struct {
		Service       string
		Delete        bool
		Base          uint64
		Expires       int64
		Specification catalog.Specification
	}{intent.Service, intent.Delete, base, expires, intent.Specification}
	encoded, err := json.Marshal(canonical)
	if err != nil {
		panic("intent: specification cannot be encoded: " + err.Error())
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:16])
}

// CheckConfirmation refuses a confirmation whose digest does not name the plan of this intent, or whose plan has expired.
func CheckConfirmation(intent Intent, base uint64, expiresUnixSeconds int64, given string, nowUnixSeconds int64) error {
	if digest(intent, base, expiresUnixSeconds) != given {
		return failure.Refused(failure.PlanMismatch, "the digest does not name a plan of this intent and base version", 0)
	}
	if nowUnixSeconds > expiresUnixSeconds {
		return failure.Refused(failure.PlanMismatch, "the plan has expired; plan again", 0)
	}
	return nil
}

func (p *Plan) change(format string, values ...any) {
	p.Changes = append(p.Changes, fmt.Sprintf(format, values...))
}

func (p *Plan) compare(intent Intent, base catalog.Document) {
	existed := base.Version > 0 && !base.Deleted
	switch {
	case intent.Delete && existed:
		p.change("delete service %s", intent.Service)
	case intent.Delete:
		p.change("nothing: service %s does not exist", intent.Service)
	case !existed:
		p.change("create service %s", intent.Service)
	}
	p.compareBackEnds(intent, base)
	if intent.Delete {
		return
	}
	old, wanted := base.Specification, intent.Specification
	p.compareValue("minimum_coverage", old.MinimumCoverage, wanted.MinimumCoverage)
	p.compareValue("preference", old.Preference, wanted.Preference)
	p.compareValue("deadline_milliseconds", old.DeadlineMilliseconds, wanted.DeadlineMilliseconds)
	p.compareValue("tail_budget_milliseconds", old.TailBudgetMilliseconds, wanted.TailBudgetMilliseconds)
	if len(p.Changes) == 0 {
		p.change("nothing: the service is as the intent says")
	}
}

func (p *Plan) compareValue(name string, old, wanted any) {
	if old != wanted {
		p.change("%s: %v -> %v", name, old, wanted)
	}
}

func (p *Plan) compareBackEnds(intent Intent, base catalog.Document) {
	before := byAddress(base.Specification.BackEnds)
	if base.Deleted {
		before = nil
	}
	after := byAddress(intent.BackEnds)
	for _, backEnd := range intent.BackEnds {
		old, existed := before[backEnd.Address]
		switch {
		case !existed:
			p.touch(backEnd, "add")
		case old != backEnd:
			p.touch(backEnd, "change")
		}
	}
	for _, backEnd := range base.Specification.BackEnds {
		if _, stays := after[backEnd.Address]; !stays && before != nil {
			p.touch(backEnd, "remove")
		}
	}
}

func (p *Plan) touch(backEnd catalog.BackEnd, verb string) {
	p.BackEnds = append(p.BackEnds, backEnd.Address)
	draining := ""
	if backEnd.Draining {
		draining = ", draining"
	}
	p.change("%s back end %s (zone %s, %d slots, %d connections%s)",
		verb, backEnd.Address, backEnd.Zone, backEnd.Slots, backEnd.Connections, draining)
}

func byAddress(backEnds []catalog.BackEnd) map[string]catalog.BackEnd {
	result := make(map[string]catalog.BackEnd, len(backEnds))
	for _, backEnd := range backEnds {
		result[backEnd.Address] = backEnd
	}
	return result
}

func (p *Plan) warn(intent Intent, base catalog.Document) {
	warn := func(text string) { p.Warnings = append(p.Warnings, text) }
	if intent.Delete {
		if base.Version > 0 && !base.Deleted {
			warn("searches and executes of this service will be refused")
		}
		return
	}
	zones := map[string]bool{}
	serving := 0
	for _, backEnd := range intent.BackEnds {
		if !backEnd.Draining {
			zones[backEnd.Zone] = true
			serving++
		}
	}
	if serving == 0 {
		warn("every back end is draining: the service will answer nothing")
	}
	if len(zones) == 1 {
		warn("all back ends are in one zone: the service is lost with it")
	}
	if intent.MinimumCoverage == 1 {
		warn("minimum_coverage 1: any lost shard fails every search")
	}
	if 2*serving < len(base.Specification.BackEnds) && !base.Deleted {
		warn("fewer than half of the back ends in force stay in use")
	}
}
