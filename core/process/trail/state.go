package trail

// Candidates is what a refusal rests on: how many targets the service has, how
// many of them may have the request, and why the others may not. A target
// counts once, under the first cause that holds.
type Candidates struct {
	Targets int `json:"targets"`
	Usable  int `json:"usable"`
	// FreePlaces is how many places the usable targets have left, Requests how
	// many requests they have, and Waiting how many wait at this entry.
	FreePlaces int `json:"freePlaces"`
	Requests   int `json:"requests,omitempty"`
	Waiting    int `json:"waiting,omitempty"`

	Leaving int `json:"leaving,omitempty"`
	// Paused targets have failed lately, Tried ones have failed this request.
	Paused int `json:"paused,omitempty"`
	Tried  int `json:"tried,omitempty"`
	// Silent engines do not answer, Loading ones load weights, and the sides of
	// Unheard ones are not heard any more.
	Silent  int `json:"silent,omitempty"`
	Loading int `json:"loading,omitempty"`
	Unheard int `json:"unheard,omitempty"`
	// OldVersion ones serve a version that may not begin a request, or none.
	OldVersion int `json:"oldVersion,omitempty"`
}

// State restates what a process believes, so that any stretch of its log
// explains a request without the lines before it.
type State struct {
	Configuration uint64         `json:"configuration,omitempty"`
	Targets       []TargetCount  `json:"targets,omitempty"`
	Named         []NamedVersion `json:"named,omitempty"`
	Serving       []ServedCount  `json:"serving,omitempty"`
	Ends          []EndCount     `json:"ends,omitempty"`
}

// EndCount is how many attempts a process has ended itself since its start for a
// cause, and how many answers it closed in the middle after an attempt that ended so.
type EndCount struct {
	Cause     string `json:"cause"`
	Abandoned int    `json:"abandoned,omitempty"`
	BrokenOff int    `json:"brokenOff,omitempty"`
}

// TargetCount is how many targets of a service are listed.
type TargetCount struct {
	Service string `json:"service"`
	Ready   int    `json:"ready"`
	Leaving int    `json:"leaving,omitempty"`
}

// NamedVersion is the newest version that is named of a model. AgeMS is how
// long ago the process takes it to have been named.
type NamedVersion struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	AgeMS   int64  `json:"ageMs"`
}

// ServedCount is how many targets of a service serve a version, 0 for none.
type ServedCount struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	Targets int    `json:"targets"`
}
