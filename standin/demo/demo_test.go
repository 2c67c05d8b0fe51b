package demo

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/process/conf"
	"hawthornferry/standin/caller"
)

var addresses = cmpopts.EquateComparable(netip.AddrPort{})

func example(deployment string) string {
	return filepath.Join("..", "..", "examples", deployment+".ini")
}

// Every process of both deployments gets settings that the system's parser
// accepts, and no two processes listen on the same address.
func TestPlan(t *testing.T) {
	tests := []struct {
		deployment string
		engines    int
		plain      int
	}{
		{deployment: "pindan", engines: 6, plain: 4},
		{deployment: "schools", engines: 6, plain: 4},
	}
	for _, tc := range tests {
		f, err := Plan(example(tc.deployment), Layout{Net: 20, Entries: 2, Relay: true})
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]int{tc.engines, tc.plain, 2}, []int{len(f.Engines()), len(f.Plain()), len(f.Entries)}); diff != "" {
			t.Errorf("%s: engines, plain, entries (-want +got):\n%s", tc.deployment, diff)
		}
		dir := t.TempDir()
		if err := f.Write(dir); err != nil {
			t.Fatal(err)
		}
		seen := map[netip.AddrPort]bool{}
		for _, n := range f.Nodes() {
			got, err := conf.Load(settingsPath(dir, n), n.VM.Role, nil)
			if err != nil {
				t.Errorf("%s: %v", n.VM.Name, err)
			}
			if diff := cmp.Diff(n.VM, got.VM(), addresses); diff != "" {
				t.Errorf("%s (-want +got):\n%s", n.VM.Name, diff)
			}
			for _, a := range []netip.AddrPort{n.VM.Address, n.Admin, n.Callers, n.Target} {
				if a.IsValid() && seen[a] {
					t.Errorf("%s: %s is used twice", n.VM.Name, a)
				}
				seen[a] = true
			}
		}
		loaded, err := LoadFleet(dir)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(f, loaded, addresses); diff != "" {
			t.Errorf("%s: reread (-want +got):\n%s", tc.deployment, diff)
		}
	}
}

func TestPlanRefuses(t *testing.T) {
	tests := []struct {
		name     string
		document string
		layout   Layout
	}{
		{name: "no document", document: "missing.ini", layout: Layout{Net: 20, Entries: 2}},
		{name: "net", document: example("pindan"), layout: Layout{Net: 256, Entries: 2}},
		{name: "no entry", document: example("pindan"), layout: Layout{Net: 20}},
	}
	for _, tc := range tests {
		if _, err := Plan(tc.document, tc.layout); err == nil {
			t.Errorf("%s: no error", tc.name)
		}
	}
}

// The written document can be parsed and differs from the example only in the
// version and manifest of the model.
func TestWriteDocument(t *testing.T) {
	f, err := Plan(example("pindan"), Layout{Net: 20, Entries: 2})
	if err != nil {
		t.Fatal(err)
	}
	digest := chunk.DigestOf([]byte("manifest"))
	v := &Version{Number: 2, Document: filepath.Join(t.TempDir(), "two.ini")}
	v.Manifests = map[string]chunk.Digest{"permit-assistant": digest}
	if err := f.writeDocument(v); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(v.Document)
	if err != nil {
		t.Fatal(err)
	}
	got, err := envdoc.Parse(v.Document, 1, text)
	if err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(f.Document)
	if err != nil {
		t.Fatal(err)
	}
	want, err := envdoc.Parse(f.Document, 1, before)
	if err != nil {
		t.Fatal(err)
	}
	want.Models[0].Version, want.Models[0].Manifest = "demo-2", digest
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("document (-want +got):\n%s", diff)
	}
}

func goodReport() *Report {
	r := &Report{NoFaults: true, Rollout: Rollout{Replicas: 6, Serving: 6, Ready: true}}
	r.Callers.Total.Done = 2
	r.Callers.Rows = []caller.Row{{Kind: caller.KindOnce, Done: 1}, {Kind: caller.KindStream, Done: 1}}
	r.Callers.Versions = map[string]int64{"one": 1, "two": 1}
	return r
}

func TestFailures(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Report)
		want   string
	}{
		{name: "good", change: func(*Report) {}},
		{name: "unknown under faults", change: func(r *Report) { r.NoFaults, r.Callers.Total.Unknown = false, 1 }},
		{name: "replica", change: func(r *Report) { r.Rollout.Serving = 5 }, want: "5 of 6 replicas serve the version"},
		{name: "unknown", change: func(r *Report) { r.Callers.Total.Unknown = 1 }, want: "1 outcomes were unknown without a fault"},
		{name: "not whole", change: func(r *Report) { r.Callers.Total.NotWhole = 1 }, want: "1 answers were not whole"},
		{name: "duplicate", change: func(r *Report) { r.Callers.Once.Duplicates = 1 }, want: "1 calls ran twice"},
		{name: "false notRun", change: func(r *Report) { r.Callers.Once.FalseNotRun = 1 }, want: "1 calls ran that were told notRun"},
		{name: "false done", change: func(r *Report) { r.Callers.Once.FalseDone = 1 }, want: "1 calls did not run that were told done"},
		{name: "no stream", change: func(r *Report) { r.Callers.Rows[1].Done = 0 }, want: "no stream call was done"},
		{name: "one version", change: func(r *Report) { delete(r.Callers.Versions, "two") }, want: "answers came from 1 versions, want both"},
	}
	for _, tc := range tests {
		r := goodReport()
		tc.change(r)
		if diff := cmp.Diff(tc.want, strings.Join(r.Failures(), "; ")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tc.name, diff)
		}
	}
}

func TestMemoryIsMaximumPerRole(t *testing.T) {
	path := filepath.Join(t.TempDir(), "memory")
	text := "rest side-1 1024\nrest side-2 2048\nrest entry-1 512\nload side-1 4096\n"
	if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
		t.Fatal(err)
	}
	readings, err := readMemory(path)
	if err != nil {
		t.Fatal(err)
	}
	f := &Fleet{}
	for _, name := range []string{"side-1", "side-2"} {
		f.Sides = append(f.Sides, Node{VM: fleet.VM{Name: name, Role: fleet.RoleSide}})
	}
	f.Entries = []Node{{VM: fleet.VM{Name: "entry-1", Role: fleet.RoleEntry}}}
	r := &Report{Fleet: f, Memory: readings}
	if diff := cmp.Diff("rest 2.0 MiB, load 4.0 MiB (greatest)", r.memory("side")); diff != "" {
		t.Errorf("side (-want +got):\n%s", diff)
	}
}
