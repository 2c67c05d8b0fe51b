package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/process/admin"
)

// serveStatus runs an administration API that reports s until the test ends, and
// returns its address.
func serveStatus(t *testing.T, s admin.Status) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	srv := &admin.Server{Listener: l, Status: func() admin.Status { return s }, Ready: func() error { return nil }}
	go func() { done <- srv.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

func entryStatus(name string, serving int, done uint64) admin.Status {
	return admin.Status{
		Process: admin.Process{Name: name, Role: fleet.RoleEntry, Zone: "freo-shed", Ready: true},
		Config:  admin.Config{Environment: "pindan", Revision: 4, RefusedRevision: 5, RefusalReason: "no service"},
		Rollouts: []admin.Rollout{{
			Service: "helper", Model: "m", Version: "v2", Manifest: chunk.DigestOf(nil),
			Zones: []admin.Progress{{Zone: "freo-shed", Wanted: 2, Serving: serving, ChunksTotal: 8}},
		}},
		Outcomes: []admin.Outcome{{Customer: "c", Service: "booking", Done: done}},
		Drift:    []admin.Drift{{Name: "firstToken", Unit: "ms", WindowMs: 60000, Value: 12, Previous: 11}},
	}
}

// status prints the tables of two entries, with the outcomes summed and the most
// advanced progress. If another entry does not answer, it still prints them, names
// that entry and fails.
func TestStatusCombinesProcesses(t *testing.T) {
	addrs := serveStatus(t, entryStatus("entry-1", 1, 3)) + "," + serveStatus(t, entryStatus("entry-2", 2, 4))
	tests := []struct {
		args   []string
		code   int
		stdout []string
		stderr string
	}{
		{
			args: []string{"status", addrs}, code: exitOK,
			stdout: []string{"entry-1", "entry-2", "revision 5 refused: no service", "2/2", "booking  7", "firstToken"},
		},
		{args: []string{"status", addrs + ",127.0.0.1:1"}, code: exitFailure, stdout: []string{"entry-2"}, stderr: "127.0.0.1:1"},
		{args: []string{"status", "here"}, code: exitInput, stderr: `addresses = "here": want an IP address`},
	}
	for _, tc := range tests {
		var stdout, stderr bytes.Buffer
		code := Main(tc.args, &stdout, &stderr)
		if diff := cmp.Diff(tc.code, code); diff != "" {
			t.Errorf("%v: exit code (-want +got):\n%s%s", tc.args, diff, &stderr)
		}
		for _, want := range tc.stdout {
			if !strings.Contains(stdout.String(), want) {
				t.Errorf("%v: no %q in:\n%s", tc.args, want, &stdout)
			}
		}
		if !strings.Contains(stderr.String(), tc.stderr) {
			t.Errorf("%v: no %q in: %s", tc.args, tc.stderr, &stderr)
		}
	}
	var stdout, stderr bytes.Buffer
	Main([]string{"status", addrs, "--json"}, &stdout, &stderr)
	var got []admin.Status
	if err := json.Unmarshal(stdout.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := []admin.Status{entryStatus("entry-1", 1, 3), entryStatus("entry-2", 2, 4)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("JSON (-want +got):\n%s", diff)
	}
}

// Guards against an operator who isn't told that a process does not use what was written for it.
func TestOperatorNoteNamesFaults(t *testing.T) {
	fault := trail.ItemFault{Key: "op/config", Reason: "no JSON", Rejected: true}
	tests := []struct {
		config admin.Config
		want   string
	}{
		{admin.Config{Faults: []trail.ItemFault{fault}, FaultCount: 2}, "op/config rejected (fault 1 of 2): no JSON"},
		{admin.Config{Faults: []trail.ItemFault{{Key: "op/config", Reason: "limits"}}, FaultCount: 1}, "op/config unreadable in part (fault 1 of 1): limits"},
		{admin.Config{SettingsFault: "port_range"}, "settings file not used: port_range"},
		{admin.Config{}, ""},
	}
	for _, tc := range tests {
		if diff := cmp.Diff(tc.want, operatorNote(admin.Status{Config: tc.config})); diff != "" {
			t.Errorf("note (-want +got):\n%s", diff)
		}
	}
}
