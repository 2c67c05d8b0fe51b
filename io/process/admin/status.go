package admin

import (
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
)

// Status is the JSON document that a process serves at /v1/status. Durations are in
// milliseconds, sizes in bytes.
type Status struct {
	Process  Process   `json:"process"`
	Config   Config    `json:"config"`
	Rollouts []Rollout `json:"rollouts"`
	Targets  []Target  `json:"targets"`
	Outcomes []Outcome `json:"outcomes"`
	Drift    []Drift   `json:"drift"`
	Tables   []Table   `json:"tables"`
	Traffic  []Traffic `json:"traffic"`
}

// Process identifies the process. Boot identifies this run of it. Ready is the result
// of /readyz; NotReadyReason says why the process is not ready.
type Process struct {
	Name           string     `json:"name"`
	Role           fleet.Role `json:"role"`
	Zone           string     `json:"zone"`
	Region         string     `json:"region"`
	Boot           string     `json:"boot"`
	Version        string     `json:"version"`
	Started        time.Time  `json:"started"`
	Ready          bool       `json:"ready"`
	NotReadyReason string     `json:"reason,omitempty"`
}

// Config describes the configuration in force and how the process gets it.
// RefusedRevision is the highest revision that was received and rejected, and
// RefusalReason the reason. ConflictRevision is the revision in force if another
// document with the same revision was seen, else 0. ReadRevision is the highest revision
// that this process has read from the platform itself. Reader says whether it currently
// reads the platform for its zone. Peers is the number of connected peers. VMListVersion
// and VMs are the version and the length of the VM list. FaultCount is the number of things
// in the platform's store that the process does not understand, and Faults the first of
// them. SettingsFault is why the process doesn't use its present settings file.
type Config struct {
	Environment      string `json:"environment"`
	Stage            string `json:"stage"`
	Revision         uint64 `json:"revision"`
	ReadRevision     uint64 `json:"service"`
	RefusedRevision  uint64 `json:"refused,omitempty"`
	RefusalReason    string `json:"fault,omitempty"`
	ConflictRevision uint64 `json:"conflict,omitempty"`
	Reader           bool   `json:"reader"`
	Peers            int    `json:"peers"`
	VMListVersion    uint64 `json:"listVersion"`
	VMs              int    `json:"vms"`

	FaultCount    int               `json:"faultCount,omitempty"`
	Faults        []trail.ItemFault `json:"faults,omitempty"`
	SettingsFault string            `json:"settingsFault,omitempty"`
}

// Rollout is the progress of loading a version of a model at the replicas that are to
// serve it.
type Rollout struct {
	Service  string       `json:"service"`
	Model    string       `json:"model"`
	Version  string       `json:"version"`
	Manifest chunk.Digest `json:"manifest"`
	Zones    []Progress   `json:"zones"`
}

// Progress is a rollout in one zone. Wanted is the number of replicas wanted, Serving
// those that serve the version, Staged those that have all its chunks. ChunksHeld and
// ChunksTotal are summed over all replicas.
type Progress struct {
	Zone        string `json:"zone"`
	Wanted      int    `json:"want"`
	Serving     int    `json:"serving"`
	Staged      int    `json:"staged"`
	ChunksHeld  int    `json:"chunksHeld"`
	ChunksTotal int    `json:"chunksTotal"`
}

// Target is the state of a target as known to the process.
type Target struct {
	Name     string       `json:"name"`
	Service  string       `json:"service"`
	Zone     string       `json:"zone"`
	State    string       `json:"state"`
	Serving  chunk.Digest `json:"serving,omitempty"`
	InFlight int          `json:"inFlight"`
	Queued   int          `json:"queued"`
	Reason   string       `json:"reason,omitempty"`
}

// Outcome counts a customer's calls to a service by outcome since the process
// started. Repeated counts those that had been received before and did not run again,
// Refused those that admission refused.
type Outcome struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Done     uint64 `json:"done"`
	NotRun   uint64 `json:"notRun"`
	Unknown  uint64 `json:"unknown"`
	Repeated uint64 `json:"repeated"`
	Refused  uint64 `json:"refused"`
}

// Drift shows whether a measure gets worse over time. Value is that of the last
// finished window, Previous the median of the windows before it. Trend is the average
// of the newest windows divided by that of the oldest, so 1 means no change. Declined
// is set if either increase is too large to be random variation (see package drift).
type Drift struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	WindowMs int64   `json:"windowMs"`
	Value    float64 `json:"value"`
	Previous float64 `json:"previous"`
	Trend    float64 `json:"trend,omitempty"`
	Declined bool    `json:"declined,omitempty"`
}

// Table is the size of a table in the process's memory. Bound is the maximum number
// of entries, or 0 if the document in force sets it.
type Table struct {
	Name    string `json:"name"`
	Entries int    `json:"entries"`
	Bound   int    `json:"bound"`
}

// Traffic is the number of bytes received from and sent to other processes of the
// system since the start, on connections of one purpose (see link.Purpose).
type Traffic struct {
	Purpose  string `json:"purpose"`
	Received uint64 `json:"received"`
	Sent     uint64 `json:"sent"`
}

// Check returns an error for the first invalid field.
func (s Status) Check() error {
	if s.Process.Name == "" {
		return errors.New("status: name of the process is empty")
	}
	if s.Process.Role != fleet.RoleEntry && s.Process.Role != fleet.RoleSide {
		return errors.Newf("status: unknown role %q", s.Process.Role)
	}
	for _, r := range s.Rollouts {
		if err := r.Manifest.Check(); err != nil {
			return errors.Wrapf(err, "status: rollout of %s", r.Service)
		}
	}
	return nil
}
