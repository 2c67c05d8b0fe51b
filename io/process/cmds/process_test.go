package cmds

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
)

// probeCommand prints two settings and opens the listener for callers.
type probeCommand struct {
	*processOptions
}

func (p *probeCommand) run(_ context.Context, out output) error {
	s, err := p.load()
	if err != nil {
		return err
	}
	l, err := p.listen("callers", s.Listen.Callers)
	if err != nil {
		return err
	}
	defer l.Close()
	fmt.Fprintln(out.stdout, s.Process.Name, s.Limits.MaxInFlight)
	return nil
}

// registerProbe registers probeCommand as the command probe until the test ends.
func registerProbe(t *testing.T) {
	t.Helper()
	before := registry
	t.Cleanup(func() { registry = before })
	register(command{
		name: "probe",
		make: func() runner { return &probeCommand{processOptions: newProcessOptions(fleet.RoleEntry)} },
	})
}

var entryFile = filepath.Join("..", "..", "..", "examples", "entry.ini")

func TestMainExitCodes(t *testing.T) {
	registerProbe(t)
	occupied, err := (&processOptions{}).listen("callers", netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	pindan := filepath.Join("..", "..", "..", "examples", "pindan.ini")
	broken := filepath.Join(t.TempDir(), "broken.ini")
	if err := os.WriteFile(broken, []byte("[environment]\nname = x\nname = y\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{args: nil, code: exitInput, stderr: "no command given"},
		{args: []string{"bogus"}, code: exitInput, stderr: `unknown command "bogus"`},
		{args: []string{"check", pindan}, code: exitOK, stdout: "sound"},
		{args: []string{"check", broken}, code: exitInput, stderr: `[environment] name = "y": key appears twice`},
		{args: []string{"check", "missing.ini"}, code: exitInput, stderr: "missing.ini"},
		{args: []string{"probe", "missing.ini"}, code: exitInput, stderr: "missing.ini"},
		{
			args: []string{"probe", entryFile, "--limits-maxInFlight", "7", "--listen-callers", "127.0.0.1:0"},
			code: exitOK, stdout: "entry-1 7",
		},
		{
			args: []string{"probe", entryFile, "--limits-maxInFlight", "0"},
			code: exitInput, stderr: `--limits-maxInFlight: [limits] maxInFlight = "0": want a whole number from 1 to 65536`,
		},
		{
			args: []string{"probe", entryFile, "--listen-callers", occupied.Addr().String()},
			code: exitInput, stderr: "[listen] callers",
		},
	}
	for _, tc := range tests {
		var stdout, stderr bytes.Buffer
		code := Main(tc.args, &stdout, &stderr)
		if diff := cmp.Diff(tc.code, code); diff != "" {
			t.Errorf("%v: exit code (-want +got):\n%s%s", tc.args, diff, stderr.String())
		}
		if !strings.Contains(stdout.String(), tc.stdout) || !strings.Contains(stderr.String(), tc.stderr) {
			t.Errorf("%v: stdout %q, stderr %q; want %q and %q", tc.args, &stdout, &stderr, tc.stdout, tc.stderr)
		}
	}
}
