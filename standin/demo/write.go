package demo

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
)

// The files of a demonstration's directory. The processes file has a line for
// each process, in the order in which script/demo.sh starts them: its name, its
// program and the program's arguments.
const (
	processesFile = "processes"
	settingsDir   = "settings"
	dirMode       = 0o755
)

// The programs that are started.
const (
	programStandin = "standin"
	programSystem  = "hawthornferry"
)

// maxSeeds is the number of peers that a process's settings name as seeds.
const maxSeeds = 3

// Write writes the plan, the settings of each process and the list of
// processes to the directory.
func (f *Fleet) Write(dir string) error {
	if err := os.MkdirAll(filepath.Join(dir, settingsDir), dirMode); err != nil {
		return errors.Wrap(err, "make directory")
	}
	for _, n := range f.Nodes() {
		path := settingsPath(dir, n)
		if err := os.WriteFile(path, []byte(f.settings(dir, n)), fileMode); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	list := strings.Join(f.processes(dir), "\n") + "\n"
	if err := os.WriteFile(filepath.Join(dir, processesFile), []byte(list), fileMode); err != nil {
		return errors.Wrap(err, "write processes")
	}
	return writeJSON(filepath.Join(dir, fleetFile), f)
}

func settingsPath(dir string, n Node) string {
	return filepath.Join(dir, settingsDir, n.VM.Name+".ini")
}

// settings returns the text of the settings file of a process.
func (f *Fleet) settings(dir string, n Node) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("[process]")
	line("name   = %s", n.VM.Name)
	line("role   = %s", n.VM.Role)
	line("zone   = %s", n.VM.Zone)
	line("region = %s", n.VM.Region)
	line("[listen]")
	line("peers = %s", n.VM.Address)
	line("admin = %s", n.Admin)
	if n.VM.Role == fleet.RoleEntry {
		line("callers = %s", n.Callers)
	}
	line("[platform]")
	line("environment = %s", f.Environment)
	line("config = %s", f.Config)
	line("vmList = %s", f.VMList)
	line("store  = %s", f.Store)
	line("origin = %s", f.Origin)
	line("[peers]")
	line("seeds = %s", strings.Join(f.seeds(n), ", "))
	if n.VM.Role == fleet.RoleSide {
		line("[target]")
		line("address = %s", n.Target)
		line("service = %s", n.VM.Service)
		line("kind    = %s", n.Kind)
	}
	line("[links]")
	line("up     = %dB", f.Links.Machine)
	line("down   = %dB", f.Links.Machine)
	line("region = %dB", f.Links.Region)
	line("[log]")
	line("decisions = %s", filepath.Join(dir, n.VM.Name+".decisions"))
	return b.String()
}

// seeds returns the addresses of the first other processes, entries first.
func (f *Fleet) seeds(self Node) []string {
	var out []string
	for _, n := range append(append([]Node{}, f.Entries...), f.Sides...) {
		if n.VM.Name != self.VM.Name && len(out) < maxSeeds {
			out = append(out, n.Listed.String())
		}
	}
	return out
}

// processes returns the lines of the processes file.
func (f *Fleet) processes(dir string) []string {
	out := []string{
		fmt.Sprintf("platform %s platform --config %s --vms %s", programStandin, f.Config, f.VMList),
		fmt.Sprintf("weights %s weights --store %s --origin %s --link %d", programStandin, f.Store, f.Origin, f.Links.Origin),
	}
	if f.Relay.IsValid() {
		out = append(out, f.relay())
	}
	for _, service := range f.services() {
		out = append(out, f.targets(service))
	}
	for _, n := range f.Nodes() {
		out = append(out, fmt.Sprintf("%s %s %s %s", n.VM.Name, programSystem, n.VM.Role, settingsPath(dir, n)))
	}
	return out
}

// relay returns the line of the relay through which the sides are reached.
func (f *Fleet) relay() string {
	var routes []string
	for _, n := range f.Sides {
		routes = append(routes, fmt.Sprintf("%s=%s", n.Listed, n.VM.Address))
	}
	return fmt.Sprintf("relay %s relay --control %s --routes %s", programStandin, f.Relay, strings.Join(routes, ","))
}

// services returns the names of the services in the order of the sides.
func (f *Fleet) services() []string {
	var out []string
	for _, n := range f.Sides {
		if len(out) == 0 || out[len(out)-1] != n.VM.Service {
			out = append(out, n.VM.Service)
		}
	}
	return out
}

// targets returns the line of the process that is the stand-in for all targets of
// a service.
func (f *Fleet) targets(service string) string {
	var listen []string
	var node Node
	for _, n := range f.Sides {
		if n.VM.Service == service {
			node = n
			listen = append(listen, n.Target.String())
		}
	}
	list := strings.Join(listen, ",")
	if node.Model != "" {
		return fmt.Sprintf("targets-%s %s engine --fencing %s --listen %s", service, programStandin, node.Fencing, list)
	}
	return fmt.Sprintf("targets-%s %s service --name %s --listen %s", service, programStandin, service, list)
}
