package admin

import (
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/version/chunk"
)

// Status is what a process answers at /v1/status. Durations are in
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

// Process says which process answers. Ready is what /readyz answers; Reason
// says why a process is not ready.
type Process struct {
	Name    string     `json:"name"`
	Role    fleet.Role `json:"role"`
	Zone    string     `json:"zone"`
	Region  string     `json:"region"`
	Boot    string     `json:"boot"`
	Version string     `json:"version"`
	Started time.Time  `json:"started"`
	Ready   bool       `json:"ready"`
	Reason  string     `json:"reason,omitempty"`
}

// Config says which configuration is in force and how it gets here. Refused
// is the highest revision that was read and not taken, with its Fault.
// Conflict is the revision in force when it was given to other content too.
// Service is the highest revision that this process has read itself; Reader
// says whether it reads the platform for its zone now.
type Config struct {
	Environment string `json:"environment"`
	Stage       string `json:"stage"`
	Revision    uint64 `json:"revision"`
	Service     uint64 `json:"service"`
	Refused     uint64 `json:"refused,omitempty"`
	Fault       string `json:"fault,omitempty"`
	Conflict    uint64 `json:"conflict,omitempty"`
	Reader      bool   `json:"reader"`
	Peers       int    `json:"peers"`
	ListVersion uint64 `json:"listVersion"`
	VMs         int    `json:"vms"`
}

// Rollout is the progress of one model's version to the replicas that are to
// serve it.
type Rollout struct {
	Service  string       `json:"service"`
	Model    string       `json:"model"`
	Version  string       `json:"version"`
	Manifest chunk.Digest `json:"manifest"`
	Zones    []Progress   `json:"zones"`
}

// Progress is a rollout in one zone: replicas wanted, those that serve the
// version, those that hold all its chunks, and chunks over all replicas.
type Progress struct {
	Zone        string `json:"zone"`
	Want        int    `json:"want"`
	Serving     int    `json:"serving"`
	Staged      int    `json:"staged"`
	ChunksHeld  int    `json:"chunksHeld"`
	ChunksTotal int    `json:"chunksTotal"`
}

// Target is one target as the process sees it.
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

// Outcome counts calls by outcome since the process started. Repeated counts
// calls whose repetition was stopped; Refused those refused at the door.
type Outcome struct {
	Customer string `json:"customer"`
	Service  string `json:"service"`
	Done     uint64 `json:"done"`
	NotRun   uint64 `json:"notRun"`
	Unknown  uint64 `json:"unknown"`
	Repeated uint64 `json:"repeated"`
	Refused  uint64 `json:"refused"`
}

// Drift compares a measure in the latest window with the usual value of those
// before. Trend is the newest windows over the oldest, 1 for no change.
// Declined is set when either is above what is taken for chance.
type Drift struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	WindowMs int64   `json:"windowMs"`
	Value    float64 `json:"value"`
	Previous float64 `json:"previous"`
	Trend    float64 `json:"trend,omitempty"`
	Declined bool    `json:"declined,omitempty"`
}

// Table is the size of one bounded table of the process.
type Table struct {
	Name    string `json:"name"`
	Entries int    `json:"entries"`
	Bound   int    `json:"bound"`
}

// Traffic is the bytes between this process and others of the system since it
// started, for one purpose of connection.
type Traffic struct {
	Purpose  string `json:"purpose"`
	Received uint64 `json:"received"`
	Sent     uint64 `json:"sent"`
}

// Check reports the first field that is out of its domain.
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
