package trail

// CandidateCounts counts the targets of a service at the time a request was
// refused: how many there are, how many could take the request, and why the others
// could not. A target that cannot is counted once, under the first reason that
// applies.
type CandidateCounts struct {
	Targets int `json:"targets"`
	// Usable is the number of targets that could take the request.
	Usable int `json:"usable"`
	// FreePlaces is how many more requests the usable targets accept, Requests
	// how many they are processing, and Waiting how many requests for the
	// service are queued at this entry.
	FreePlaces int `json:"freePlaces"`
	Requests   int `json:"requests,omitempty"`
	Waiting    int `json:"waiting,omitempty"`
	// NoPermit counts the usable targets that take only a limited number of requests
	// and may not get one from this entry now.
	NoPermit int `json:"noPermit,omitempty"`

	// OtherRegion counts targets in regions in which the request may not be served,
	// Evacuated those in zones that are being evacuated, and Leaving those that are
	// about to be removed.
	OtherRegion int `json:"otherRegion,omitempty"`
	Evacuated   int `json:"evacuated,omitempty"`
	Leaving     int `json:"leaving,omitempty"`
	// BackingOff counts targets that have asked this entry to back off.
	BackingOff int `json:"backingOff,omitempty"`
	// Paused counts targets that get no requests for a while because they failed
	// recently, FailedThisRequest those that already failed this request.
	Paused            int `json:"paused,omitempty"`
	FailedThisRequest int `json:"tried,omitempty"`
	// NotInTrial counts targets that may not get a trial of a blocked request.
	NotInTrial int `json:"notInTrial,omitempty"`
	// Silent counts targets whose engine does not respond, Loading those whose
	// engine is loading weights, and NotReporting those whose side no longer
	// reports.
	Silent       int `json:"silent,omitempty"`
	Loading      int `json:"loading,omitempty"`
	NotReporting int `json:"unheard,omitempty"`
	// OldVersion counts targets that serve no version, or one that new requests
	// may no longer start on.
	OldVersion int `json:"oldVersion,omitempty"`
}

// RetryBudget is the state of a service's retry budget when it did not allow a retry.
type RetryBudget struct {
	// Requests and Arrived are the callers' requests and the retries of the current
	// window, and Outstanding the granted retries that may not have arrived yet.
	Requests    int `json:"requests"`
	Arrived     int `json:"arrived"`
	Outstanding int `json:"outstanding"`
	// Starting is set while retries of the process before may still count, so that only a
	// part of the budget may be used.
	Starting bool `json:"starting,omitempty"`
	// AgeMS is how long ago the process started.
	AgeMS int64 `json:"ageMs"`
}

// FetchPlan is the order in which the origin's link carries the wanted versions of a model.
type FetchPlan struct {
	Versions []PlannedVersion `json:"versions"`
	// LoadOlder is set if the older version is loaded when it is complete while the newest is
	// not, and WithoutServiceMS is for how long no engine is expected to serve a version on
	// which requests may begin.
	LoadOlder        bool  `json:"loadOlder,omitempty"`
	WithoutServiceMS int64 `json:"withoutServiceMs,omitempty"`
}

// PlannedVersion is a version with its place in the order, the bytes of it that the region
// lacks, and in how long the origin's link is expected to have carried them.
type PlannedVersion struct {
	Version      uint64 `json:"version"`
	Priority     string `json:"priority"`
	MissingBytes int64  `json:"missingBytes"`
	ExpectedMS   int64  `json:"expectedMs,omitempty"`
}

// State is a snapshot of what a process knows. Processes log it periodically, so
// that an excerpt of a log is enough to explain a request.
type State struct {
	// Configuration is the version of the routing table in use.
	Configuration  uint64            `json:"configuration,omitempty"`
	Targets        []TargetCount     `json:"targets,omitempty"`
	NewestVersions []NewestVersion   `json:"named,omitempty"`
	Serving        []ServedCount     `json:"serving,omitempty"`
	AttemptEnds    []AttemptEndCount `json:"ends,omitempty"`
	// RateLimited counts the targets that have named a limit on their requests.
	RateLimited int `json:"rateLimited,omitempty"`
	// SaidLeaving counts the targets that have said in a response that they are about
	// to stop, and BackingOff those that have asked this process to back off.
	SaidLeaving int `json:"saidLeaving,omitempty"`
	BackingOff  int `json:"backingOff,omitempty"`
	// FaultCount is the number of things in the store that the process does not understand,
	// and Faults the first of them.
	FaultCount int         `json:"faultCount,omitempty"`
	Faults     []ItemFault `json:"faults,omitempty"`
	// SettingsFault is why the process doesn't use its present settings file.
	SettingsFault string `json:"settingsFault,omitempty"`
}

// ItemFault is what a process does not understand of an item of the platform's store. If
// Rejected is set, that is the whole item, and a former value of it may be in force;
// otherwise the rest of the item is in force.
type ItemFault struct {
	Key      string `json:"key"`
	Kind     string `json:"kind"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
	Rejected bool   `json:"rejected,omitempty"`
}

// AttemptEndCount counts, for one cause and since the process started, the
// attempts that the process itself ended (Abandoned) and the responses that it cut
// off (BrokenOff).
type AttemptEndCount struct {
	Cause     string `json:"cause"`
	Abandoned int    `json:"abandoned,omitempty"`
	BrokenOff int    `json:"brokenOff,omitempty"`
}

// TargetCount is the number of known targets of a service. Ready ones are those
// that are not leaving.
type TargetCount struct {
	Service string `json:"service"`
	Ready   int    `json:"ready"`
	Leaving int    `json:"leaving,omitempty"`
}

// NewestVersion is the newest version announced for a model. AgeMS is the
// process's estimate of how long ago it was announced.
type NewestVersion struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	AgeMS   int64  `json:"ageMs"`
}

// ServedCount is the number of targets of a service that serve Version. A Version
// of 0 stands for targets that serve none.
type ServedCount struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	Targets int    `json:"targets"`
}

// AdmissionLevel is the share of a service's requests that may begin, with what it is based on.
type AdmissionLevel struct {
	Shares []PriorityShare `json:"shares"`
	// Entries is the number of entries whose demand was added up, 1 if an entry uses only its
	// own. AgeMS is how old the sum is.
	Entries int   `json:"entries"`
	AgeMS   int64 `json:"ageMs"`
}

// PriorityShare is the share of the requests of a priority that may begin.
type PriorityShare struct {
	Priority int     `json:"priority"`
	Share    float64 `json:"share"`
}
