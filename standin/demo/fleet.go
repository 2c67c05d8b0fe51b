// Package demo has the steps of the demonstration: it plans the processes for an
// environment document, writes their settings, publishes and promotes versions,
// and prints the table of results. It starts no process; script/demo.sh does,
// and runs the steps as commands of standin.
package demo

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
)

// Fleet is the plan of a demonstration: every process and the addresses on which
// it listens. Document is the path of the environment document from which it was
// planned. Relay is the control address of the relay that forwards connections
// to the sides, and the zero address when there is no relay.
type Fleet struct {
	Environment string         `json:"environment"`
	Document    string         `json:"document"`
	Config      netip.AddrPort `json:"config"`
	VMList      netip.AddrPort `json:"vmList"`
	Store       netip.AddrPort `json:"store"`
	Origin      netip.AddrPort `json:"origin"`
	Relay       netip.AddrPort `json:"relay"`
	Links       Links          `json:"links"`
	Entries     []Node         `json:"entries"`
	Sides       []Node         `json:"sides"`
}

// Links are the rates of the links in bytes a second.
type Links struct {
	Origin  int64 `json:"origin"`
	Machine int64 `json:"machine"`
	Region  int64 `json:"region"`
}

// Node is one process of the system: an entry, or a side with its target. Listed
// is the address that the platform's VM list has for it, either its own or that
// of a relay's route to it. Callers, the address on which callers are served, is
// set for an entry; Target, Kind, Fencing and Model are set for a side.
type Node struct {
	VM      fleet.VM           `json:"vm"`
	Listed  netip.AddrPort     `json:"listed"`
	Admin   netip.AddrPort     `json:"admin"`
	Callers netip.AddrPort     `json:"callers"`
	Target  netip.AddrPort     `json:"target"`
	Kind    envdoc.ServiceKind `json:"kind,omitempty"`
	Fencing envdoc.Fencing     `json:"fencing,omitempty"`
	Model   string             `json:"model,omitempty"`
}

// fleetFile is the file with the plan in the demonstration's directory.
const fleetFile = "fleet.json"

// LoadFleet reads the plan from the demonstration's directory.
func LoadFleet(dir string) (*Fleet, error) {
	var f Fleet
	err := readJSON(filepath.Join(dir, fleetFile), &f)
	return &f, err
}

// Engines returns the sides whose target is a model engine.
func (f *Fleet) Engines() []Node {
	return f.filterSides(func(n Node) bool { return n.Kind == envdoc.KindEngine })
}

// Plain returns the sides whose target is a plain service.
func (f *Fleet) Plain() []Node {
	return f.filterSides(func(n Node) bool { return n.Kind == envdoc.KindPlain })
}

// Service returns the sides of a service.
func (f *Fleet) Service(name string) []Node {
	return f.filterSides(func(n Node) bool { return n.VM.Service == name })
}

func (f *Fleet) filterSides(match func(Node) bool) []Node {
	var out []Node
	for _, n := range f.Sides {
		if match(n) {
			out = append(out, n)
		}
	}
	return out
}

// Nodes returns all processes of the system, the sides first.
func (f *Fleet) Nodes() []Node {
	return append(append([]Node{}, f.Sides...), f.Entries...)
}

func readJSON(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	return errors.Wrapf(json.Unmarshal(b, v), "read %s", path)
}

// fileMode is the mode of the files that a demonstration writes.
const fileMode = 0o644

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "write %s", path)
	}
	return errors.Wrap(os.WriteFile(path, append(b, '\n'), fileMode), "write")
}
