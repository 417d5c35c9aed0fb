package engine

import (
	"fmt"
	"time"

	"stiletrail/internal/membership"
	"stiletrail/internal/message"
)

// Limits of a status request.
const (
	// statusWait bounds the wait for the members' answers.
	statusWait = 500 * time.Millisecond
	// statusMembers bounds how many members are asked; beyond it a random sample is.
	statusMembers = 512
)

// ServiceStatus says how far a service's version is in force.
type ServiceStatus struct {
	Service string
	Version uint64
	Deleted bool
	// InForce counts the members asked that have this version or a later one, this node included.
	InForce int
	Asked   int
	// Unreachable members did not answer in time.
	Unreachable []string
}

// StatusAnswer is the state of a node and of the services as seen from it.
type StatusAnswer struct {
	Caller Caller
	Self   membership.Member
	Ready  bool
	Alive  int
	// ConfigurationAge is negative where the catalog was never known equal to the store's.
	ConfigurationAge time.Duration
	Services         []ServiceStatus
	Alarms           []string
}

// pendingStatus is a status request under way.
type pendingStatus struct {
	caller Caller
	// service is the only one asked for, or empty for all.
	service string
	until   time.Duration
	// unanswered are the members that have not answered; versions what the others have in force, by member and service.
	unanswered  map[string]bool
	versions map[string]map[string]uint64
}

// Status asks the members which versions they have in force.
func (e *Engine) Status(now time.Duration, caller Caller, service string) Output {
	e.beginCall(now)
	run := &pendingStatus{
		caller: caller, service: service, until: now + statusWait,
		unanswered: map[string]bool{}, versions: map[string]map[string]uint64{},
	}
	number := e.nextNumber()
	e.statuses[number] = run
	for _, peer := range e.members.Pick(statusMembers, func(m membership.Member) bool { return m.Usable() }) {
		run.unanswered[peer] = true
		e.send(peer, &message.VersionRequest{Sequence: number, Service: service})
	}
	e.finishStatus(number, run)
	return e.endCall()
}

func (e *Engine) receiveVersionRequest(from string, m *message.VersionRequest) {
	reply := &message.VersionReply{Sequence: m.Sequence}
	services := e.catalog.Services()
	if m.Service != "" {
		services = []string{m.Service}
	}
	for _, service := range services {
		reply.Versions = append(reply.Versions, message.ServiceVersion{Service: service, Version: e.catalog.Version(service)})
	}
	e.send(from, reply)
}

func (e *Engine) receiveVersionReply(from string, m *message.VersionReply) {
	run := e.statuses[m.Sequence]
	if run == nil || !run.unanswered[from] {
		return
	}
	delete(run.unanswered, from)
	run.versions[from] = make(map[string]uint64, len(m.Versions))
	for _, version := range m.Versions {
		run.versions[from][version.Service] = version.Version
	}
	e.finishStatus(m.Sequence, run)
}

func (e *Engine) tickStatuses() {
	for _, number := range sortedKeys(e.statuses) {
		e.finishStatus(number, e.statuses[number])
	}
}

// finishStatus answers once all members have, or the wait is over.
func (e *Engine) finishStatus(number uint64, run *pendingStatus) {
	if len(run.unanswered) > 0 && e.now < run.until {
		return
	}
	delete(e.statuses, number)
	age, known := e.gossip.Age(e.now)
	if !known {
		age = -1
	}
	answer := StatusAnswer{
		Caller: run.caller, Self: e.members.Self(), Ready: e.Ready(), Alive: e.members.AliveCount(),
		ConfigurationAge: age, Alarms: e.Alarms(),
	}
	for _, service := range e.catalog.Services() {
		if run.service == "" || run.service == service {
			answer.Services = append(answer.Services, e.serviceStatus(run, service))
		}
	}
	e.output.StatusAnswers = append(e.output.StatusAnswers, answer)
}

func (e *Engine) serviceStatus(run *pendingStatus, service string) ServiceStatus {
	document, _ := e.catalog.Get(service)
	status := ServiceStatus{Service: service, Version: document.Version, Deleted: document.Deleted, InForce: 1}
	status.Asked = 1 + len(run.unanswered) + len(run.versions)
	status.Unreachable = sortedKeys(run.unanswered)
	for _, versions := range run.versions {
		if versions[service] >= document.Version {
			status.InForce++
		}
	}
	return status
}

// Alarms lists what an operator must look at.
func (e *Engine) Alarms() []string {
	var alarms []string
	for _, service := range sortedKeys(e.store.behind) {
		alarms = append(alarms, fmt.Sprintf(
			"STORE_BEHIND: the store holds version %d of %s, in force is %d; confirm any plan for it to repair the store",
			e.store.behind[service], service, e.catalog.Version(service)))
	}
	return alarms
}
