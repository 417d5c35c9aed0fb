package engine

import (
	"fmt"
	"time"

	"stiletrail/internal/membership"
	"stiletrail/internal/message"
)

// These are the limits of a status request.
const (
	// statusWait is the maximum wait for the members' answers.
	statusWait = 500 * time.Millisecond
	// statusMembers is the maximum number of members that are asked. If there are more, a random sample is asked.
	statusMembers = 512
)

// ServiceStatus states which version of a service's document is in force, and on how many members.
type ServiceStatus struct {
	Service string
	Version uint64
	Deleted bool
	// InForce counts the members that have this version or a later one in force, this node included.
	InForce int
	// Asked counts the members asked, this node included.
	Asked int
	// Unreachable lists the members that did not answer in time.
	Unreachable []string
}

// StatusAnswer is the state of a node and of the services as this node knows them.
type StatusAnswer struct {
	Caller Caller
	Self   membership.Member
	Ready  bool
	// Alive is the number of members that are alive.
	Alive int
	// ConfigurationAge is the time since the catalog was last known to equal the store, negative if it never was.
	ConfigurationAge time.Duration
	Services         []ServiceStatus
	Alarms           []string
}

// pendingStatus is a status request that waits for the answers of members.
type pendingStatus struct {
	caller Caller
	// service is the service that is asked for. It is empty for all services.
	service string
	until   time.Duration
	// unanswered are the members that have not answered. versions holds the versions that the others have in force, by
	// member and service.
	unanswered map[string]bool
	versions   map[string]map[string]uint64
}

// Status asks the members which versions they have in force. The answer comes in a later Output, or in this one.
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

// receiveVersionRequest tells a peer which versions are in force on this node.
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

// receiveVersionReply records a member's answer to a status request.
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

// tickStatuses answers the status requests whose wait is over.
func (e *Engine) tickStatuses() {
	for _, number := range sortedKeys(e.statuses) {
		e.finishStatus(number, e.statuses[number])
	}
}

// finishStatus answers a status request if all members asked have answered or the wait is over.
func (e *Engine) finishStatus(number uint64, run *pendingStatus) {
	if len(run.unanswered) > 0 && e.now < run.until {
		return
	}
	delete(e.statuses, number)
	age, known := e.gossip.ConfigurationAge(e.now)
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

// serviceStatus evaluates the members' answers for one service.
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

// Alarms returns the conditions that need an operator's attention, one text each.
func (e *Engine) Alarms() []string {
	var alarms []string
	for _, service := range sortedKeys(e.store.behind) {
		alarms = append(alarms, fmt.Sprintf(
			"STORE_BEHIND: the store holds version %d of service %s, but version %d is in force; confirm any plan for the service to repair the store",
			e.store.behind[service], service, e.catalog.Version(service)))
	}
	return alarms
}
