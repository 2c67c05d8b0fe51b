// Package trail defines the records of the decision log: one for each routing,
// admission, call, placement, transfer, configuration and membership decision.
// Every process writes them as JSON lines; the commands explain and replay read
// them back.
package trail

import (
	"time"

	"hawthornferry/core/process/epoch"
)

// Area is the part of the system that made a decision.
type Area string

// The areas.
const (
	AreaRouting   Area = "routing"
	AreaAdmission Area = "admission"
	AreaCall      Area = "call"
	AreaPlacement Area = "placement"
	AreaTransfer  Area = "transfer"
	AreaConfig    Area = "config"
	AreaMember    Area = "member"
)

// The actions of the records about what targets say of themselves in their responses. An
// entry writes them; those about limits are also written by the side that it has told.
const (
	ActionRateLimitNamed  = "rateLimitNamed"
	ActionRateLimitLifted = "rateLimitLifted"
	ActionTargetLeaving   = "targetLeaving"
	ActionTargetBackoff   = "targetBackoff"
)

// ActionReadCutOff is the action of the records about machines that have sent more than they
// may, or what is not valid. Subject is the machine, Choice its address, and Reason the bound.
const (
	ActionReadCutOff = "readCutOff"
	// ActionLevelChanged is the action of the record that another priority is now the least
	// urgent one of a service whose requests are all admitted.
	ActionLevelChanged = "levelChanged"
)

// Exclusion is a candidate that was not chosen, and the reason.
type Exclusion struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

// Decision is one record of the log. Fields that do not apply are empty.
type Decision struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	// Boot identifies one run of the process.
	Boot string `json:"boot,omitempty"`
	Area Area   `json:"area"`
	// Action is what was decided or observed, such as "choose" or "leaving".
	Action string `json:"action"`
	// Request is the id of the request that the decision is about.
	Request  string `json:"request,omitempty"`
	Customer string `json:"customer,omitempty"`
	Service  string `json:"service,omitempty"`
	// Subject is what the decision is about, such as a route, a call, a manifest
	// or a target, depending on the action. Choice is what was chosen for it,
	// usually a target.
	Subject string `json:"subject,omitempty"`
	Choice  string `json:"choice,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Cause is set for a response that was cut off after it had started. It says
	// why the attempt that had started it ended: overdue, targetSilent,
	// targetLoading, eventOutOfOrder, readCutOff or stopping when the entry ended the attempt.
	// readCutOff is also set for the attempt itself.
	Cause string `json:"cause,omitempty"`
	// Revision is that of the configuration in force, or of the state that a
	// configuration or membership record is about.
	Revision uint64 `json:"revision,omitempty"`
	// Epoch is that of the store's revision; see package epoch. A Log sets it.
	Epoch    uint64      `json:"epoch,omitempty"`
	Excluded []Exclusion `json:"left,omitempty"`
	// Fingerprint identifies a request by what it has in common with its repeats,
	// in hexadecimal digits. It is computed only when needed: after an attempt has
	// broken off, or while any request is suspected of crashing targets.
	Fingerprint string `json:"fingerprint,omitempty"`
	// PromptParts holds the IDs of the parts of the prompt that other requests may have,
	// too. It is set for an attempt that broke off and for a request that is refused
	// because it crashes targets.
	PromptParts []string `json:"promptParts,omitempty"`
	// Status is the HTTP status of the response.
	Status int `json:"status,omitempty"`
	// Load is the number of requests at the chosen target, or of targets in the first
	// state that a process has got, and Version the model version that the target
	// serves.
	Load    int    `json:"load,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// MinVersion is the lowest version that may answer the request.
	MinVersion uint64 `json:"demanded,omitempty"`
	// RateLimit is the limit that a target names, in requests a second.
	RateLimit float64 `json:"rateLimit,omitempty"`
	// RetryAfterMS is for how long a target wants no requests from the process.
	RetryAfterMS int64 `json:"retryAfterMs,omitempty"`
	// Attempts is how often the request was sent. It is omitted for 1.
	Attempts int `json:"attempts,omitempty"`
	// LastEvent is the last event of the stream that the caller had received when
	// an attempt ended. The next attempt resumes after it.
	LastEvent string `json:"lastEvent,omitempty"`
	// SinceFirstRequestMS is set for a request that its caller repeats: the
	// estimated time between the first request and the arrival of this one.
	SinceFirstRequestMS int64 `json:"askedMs,omitempty"`
	// WaitedMS is how long the request waited for a free place at a target.
	WaitedMS int64 `json:"waitedMs,omitempty"`
	// ObjectiveMS is the time that the route allows until the first event. It is
	// set for requests that were refused or answered late.
	ObjectiveMS int64 `json:"objectiveMs,omitempty"`
	// ExpectedMS is the predicted and FirstEventMS the measured time until the
	// first event.
	ExpectedMS   int64 `json:"expectedMs,omitempty"`
	FirstEventMS int64 `json:"firstMs,omitempty"`
	// TookMS is the duration of what the record is about, such as an attempt or a
	// whole request.
	TookMS int64 `json:"tookMs,omitempty"`
	// AgeMS is how long ago the information that the decision is based on was last
	// confirmed. For the record of a version or a load order it is the age of that
	// version or order.
	AgeMS int64 `json:"ageMs,omitempty"`
	// Candidates is set when a request was refused because no target could take
	// it.
	Candidates *CandidateCounts `json:"candidates,omitempty"`
	// RetryBudget is set for a request that the retry budget of its service did not allow
	// to be sent again.
	RetryBudget *RetryBudget `json:"retryBudget,omitempty"`
	// Fetches is set when the order changes in which versions are fetched.
	Fetches *FetchPlan `json:"fetches,omitempty"`
	// Level is set for a change of a service's admission level, and for a request that it
	// has refused.
	Level *AdmissionLevel `json:"admission,omitempty"`
	// State is set for the periodic snapshots of what a process knows.
	State *State `json:"state,omitempty"`
}

// SplitRevision moves the epoch out of Revision, which is then the store's own count.
func (d *Decision) SplitRevision() {
	d.Epoch, d.Revision = epoch.Of(d.Revision), epoch.Count(d.Revision)
}

// Log records decisions. Implementations set Time, Process and Boot, must be
// safe for concurrent use and must not block on a slow reader.
type Log interface {
	Record(d Decision)
}

// Discard is a Log that drops every decision.
type Discard struct{}

// Record does nothing.
func (Discard) Record(Decision) {}
