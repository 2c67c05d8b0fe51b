// Package trail defines the decision log: one record for each routing,
// placement, admission, transfer and configuration decision. Processes write
// the records as JSON lines; the replay command reads them back.
package trail

import "time"

// Area says which part of the system took a decision.
type Area string

// The areas of decision.
const (
	AreaRouting   Area = "routing"
	AreaAdmission Area = "admission"
	AreaCall      Area = "call"
	AreaPlacement Area = "placement"
	AreaTransfer  Area = "transfer"
	AreaConfig    Area = "config"
	AreaMember    Area = "member"
)

// Left is a candidate that a decision left out, and why.
type Left struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// Decision is one record of the log. Fields that do not apply are empty.
type Decision struct {
	Time     time.Time `json:"time"`
	Process  string    `json:"process"`
	Boot     string    `json:"boot,omitempty"`
	Area     Area      `json:"area"`
	Action   string    `json:"action"`
	Request  string    `json:"request,omitempty"`
	Customer string    `json:"customer,omitempty"`
	Service  string    `json:"service,omitempty"`
	Subject  string    `json:"subject,omitempty"`
	Choice   string    `json:"choice,omitempty"`
	Outcome  string    `json:"outcome,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	// Cause is why the attempt ended that had begun an answer which was closed in the
	// middle: overdue, targetSilent, targetLoading or eventOutOfOrder when the entry ended
	// it.
	Cause    string `json:"cause,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Left     []Left `json:"left,omitempty"`
	// Fingerprint names a request by what its repeats have in common, in hexadecimal
	// digits; told where an attempt broke off.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Status is that of an answer, Load the requests at the choice, Version the
	// one that it serves and Demanded the least that may answer. WaitedMS,
	// ExpectedMS, FirstMS and TookMS are of the request: waited for a place,
	// foreseen and taken to its first event, and whole; AgeMS is how long ago what
	// the decision rests on was last confirmed. AskedMS is how long before its arrival
	// the caller is taken to have asked first, where it came back. ObjectiveMS is
	// the time that the route has to its first event, told of requests that were
	// refused or late. Attempts is how often the request was sent, left out for once.
	// LastEvent is the last event of a stream that its caller has where an attempt
	// ends: the next one goes on from it.
	Status      int    `json:"status,omitempty"`
	Load        int    `json:"load,omitempty"`
	Version     uint64 `json:"version,omitempty"`
	Demanded    uint64 `json:"demanded,omitempty"`
	Attempts    int    `json:"attempts,omitempty"`
	LastEvent   string `json:"lastEvent,omitempty"`
	AskedMS     int64  `json:"askedMs,omitempty"`
	WaitedMS    int64  `json:"waitedMs,omitempty"`
	ObjectiveMS int64  `json:"objectiveMs,omitempty"`
	ExpectedMS  int64  `json:"expectedMs,omitempty"`
	FirstMS     int64  `json:"firstMs,omitempty"`
	TookMS      int64  `json:"tookMs,omitempty"`
	AgeMS       int64  `json:"ageMs,omitempty"`
	// Candidates is set for a refusal for want of a target, State where a process
	// restates what it believes.
	Candidates *Candidates `json:"candidates,omitempty"`
	State      *State      `json:"state,omitempty"`
}

// Log takes decisions. Implementations fill Time, Process and Boot, must be
// safe for concurrent use and must not block on a slow reader.
type Log interface {
	Decide(d Decision)
}

// Discard drops every decision.
type Discard struct{}

// Decide does nothing.
func (Discard) Decide(Decision) {}
