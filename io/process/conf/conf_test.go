package conf

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/inidoc"
)

func readExample(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestExamplesAreValid(t *testing.T) {
	entry, err := Parse("entry.ini", []byte(readExample(t, "entry.ini")), fleet.RoleEntry, nil)
	if err != nil {
		t.Fatal(err)
	}
	side, err := Parse("side.ini", []byte(readExample(t, "side.ini")), fleet.RoleSide, nil)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("127.0.0.1:8001", entry.Listen.Callers.String()); diff != "" {
		t.Errorf("callers (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(50e6/8), side.Links.Up); diff != "" {
		t.Errorf("link up (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(10*time.Minute, side.Limits.RecordAge); diff != "" {
		t.Errorf("default record age (-want +got):\n%s", diff)
	}
}

func TestFlagsOverrideFile(t *testing.T) {
	flags := []Flag{{Section: "limits", Key: "grace", Value: "1m"}, {Section: "peers", Key: "seeds", Value: "127.0.0.1:1"}}
	s, err := Parse("entry.ini", []byte(readExample(t, "entry.ini")), fleet.RoleEntry, flags)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(time.Minute, s.Limits.Grace); diff != "" {
		t.Errorf("grace (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("127.0.0.1:1", s.Peers.Seeds[0].String()); diff != "" {
		t.Errorf("seeds (-want +got):\n%s", diff)
	}
}

func TestFlawsNameSectionKeyValueAndReason(t *testing.T) {
	tests := []struct {
		from, to string
		want     []string
	}{
		{"name   = helper-1", "", []string{`[process] name: missing`}},
		{"role   = side", "role = entry", []string{`[process] role = "entry": the command is side`}},
		{"kind    = engine", "kind = motor", []string{`[target] kind = "motor": want one of engine, plain`}},
		{"up     = 50Mbit", "up = 50", []string{`[links] up = "50": want a rate a second with a unit, such as 25Mbit or 10MiB`}},
		{"uploadSlots = 2", "uploadSlots = 65", []string{`[limits] uploadSlots = "65": want a whole number from 1 to 64`}},
		{"grace       = 30s", "grace = 2h", []string{`[limits] grace = "2h": want a duration from 0s to 1h0m0s`}},
		{"grace       = 30s", "memory = 1MiB", []string{`[limits] memory = "1MiB": is 1048576 bytes, want 16777216 to 68719476736`}},
		{"level  = info", "level = loud", []string{`[log] level = "loud": want one of debug, info, warning, error`}},
		{"address = 127.0.0.1:5001", "address = localhost:5001", []string{`[target] address = "localhost:5001": want an IP address and a port, such as 127.0.0.1:7000`}},
		{"environment = pindan", "environment = pindan\nregion = x", []string{`[platform] region = "x": unknown key`}},
		{"[links]", "[link]", []string{`[link]: unknown section, want one of process, listen, platform, peers, target, links, limits, log`}},
		{"[links]", "[log]", []string{
			`[log]: section appears twice`,
			`[log] up = "50Mbit": unknown key`, `[log] down = "50Mbit": unknown key`, `[log] region = "25Mbit": unknown key`,
		}},
	}
	for _, tc := range tests {
		text := readExample(t, "side.ini")
		if !strings.Contains(text, tc.from) {
			t.Fatalf("the example has no %q", tc.from)
		}
		_, err := Parse("side.ini", []byte(strings.Replace(text, tc.from, tc.to, 1)), fleet.RoleSide, nil)
		var got []string
		var flaws inidoc.Problems
		if errors.As(err, &flaws) {
			for _, f := range flaws {
				got = append(got, strings.TrimPrefix(f.Error(), "side.ini: "))
			}
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%q for %q (-want +got):\n%s", tc.to, tc.from, diff)
		}
	}
}

// The documentation for operators must be up to date: it has a row for each key that a process
// reads, with its section, default and bounds.
func TestPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "doc", "settings.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, role := range []fleet.Role{fleet.RoleEntry, fleet.RoleSide} {
		for _, o := range Options(role) {
			if row := pageRow(o); !strings.Contains(string(page), row) {
				t.Errorf("doc/settings.md lacks, or has otherwise:\n%s", row)
			}
		}
	}
}

// pageRow returns the row of a setting in the table of doc/settings.md.
func pageRow(o Option) string {
	unit := o.Unit
	if o.OneOf != "" {
		unit = "one of " + o.OneOf
	}
	bounds := ""
	if o.Min != "" || o.Max != "" {
		bounds = o.Min + " to " + o.Max
	}
	defaultText := o.Default
	if o.Required {
		defaultText = "required"
	}
	roles := o.Role
	if roles == "" {
		roles = "both"
	}
	return fmt.Sprintf("| `[%s] %s` | %s | %s | %s | %s | %s |", o.Section, o.Key, unit, defaultText, bounds, roles, o.Help)
}
