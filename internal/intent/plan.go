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

// PlanLifetime is the time within which a plan can be confirmed. It only keeps operators from confirming a plan that
// they have forgotten. Which of two competing plans takes effect depends on the base version alone.
const PlanLifetime = 15 * time.Minute

// Plan lists the changes that confirming an intent would make.
type Plan struct {
	Service string
	// BaseVersion is the version of the document that the intent was compared with. Zero means that there was none.
	BaseVersion uint64
	// ExpiresUnixSeconds is the wall-clock time after which the plan cannot be confirmed.
	ExpiresUnixSeconds int64
	// Digest identifies the plan. It is computed from the intent, the base version and the expiry.
	Digest string
	// Changes has one line of text for each change.
	Changes []string
	// BackEnds has the addresses of the back ends that are added, changed or removed.
	BackEnds []string
	// Warnings has one line of text for each likely mistake.
	Warnings []string
}

// NewPlan compares an intent with the service's document in force and returns the plan. base is the zero Document if
// the service has none.
func NewPlan(intent Intent, base catalog.Document, expiresUnixSeconds int64) Plan {
	plan := Plan{Service: intent.Service, BaseVersion: base.Version, ExpiresUnixSeconds: expiresUnixSeconds}
	plan.Digest = digest(intent, base.Version, expiresUnixSeconds)
	plan.compare(intent, base)
	plan.addWarnings(intent, base)
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

// CheckConfirmation returns an error of code PLAN_MISMATCH if the given digest is not that of the plan for this intent,
// base version and expiry, or if the plan has expired.
func CheckConfirmation(intent Intent, base uint64, expiresUnixSeconds int64, given string, nowUnixSeconds int64) error {
	if digest(intent, base, expiresUnixSeconds) != given {
		return failure.NewRefusal(failure.PlanMismatch, "the digest is not that of the plan for this intent, base version and expiry", 0)
	}
	if nowUnixSeconds > expiresUnixSeconds {
		return failure.NewRefusal(failure.PlanMismatch, "the plan has expired; plan again", 0)
	}
	return nil
}

func (p *Plan) addChange(format string, values ...any) {
	p.Changes = append(p.Changes, fmt.Sprintf(format, values...))
}

func (p *Plan) compare(intent Intent, base catalog.Document) {
	existed := base.Version > 0 && !base.Deleted
	switch {
	case intent.Delete && existed:
		p.addChange("delete service %s", intent.Service)
	case intent.Delete:
		p.addChange("nothing: service %s does not exist", intent.Service)
	case !existed:
		p.addChange("create service %s", intent.Service)
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
		p.addChange("nothing: the service is as the intent says")
	}
}

func (p *Plan) compareValue(name string, old, wanted any) {
	if old != wanted {
		p.addChange("%s: %v -> %v", name, old, wanted)
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
			p.addBackEndChange(backEnd, "add")
		case old != backEnd:
			p.addBackEndChange(backEnd, "change")
		}
	}
	for _, backEnd := range base.Specification.BackEnds {
		if _, stays := after[backEnd.Address]; !stays && before != nil {
			p.addBackEndChange(backEnd, "remove")
		}
	}
}

func (p *Plan) addBackEndChange(backEnd catalog.BackEnd, verb string) {
	p.BackEnds = append(p.BackEnds, backEnd.Address)
	draining := ""
	if backEnd.Draining {
		draining = ", draining"
	}
	p.addChange("%s back end %s (zone %s, %d slots, %d connections%s)",
		verb, backEnd.Address, backEnd.Zone, backEnd.Slots, backEnd.Connections, draining)
}

func byAddress(backEnds []catalog.BackEnd) map[string]catalog.BackEnd {
	result := make(map[string]catalog.BackEnd, len(backEnds))
	for _, backEnd := range backEnds {
		result[backEnd.Address] = backEnd
	}
	return result
}

// addWarnings adds a warning for each part of the intent that is allowed but probably a mistake.
func (p *Plan) addWarnings(intent Intent, base catalog.Document) {
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
		warn("every back end is draining: the service will answer no requests")
	}
	if len(zones) == 1 {
		warn("all back ends are in one zone: the service fails if that zone fails")
	}
	if intent.MinimumCoverage == 1 {
		warn("minimum_coverage is 1: every search fails while any shard is missing")
	}
	if 2*serving < len(base.Specification.BackEnds) && !base.Deleted {
		warn("fewer than half of the back ends that are now in force stay in use")
	}
}
