package audit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/trail"
)

// The explanation of a request must contain the request's own records and what its
// entry knew at the time: the latest record on each matter, but no earlier ones
// and none of other processes.
func TestExplain(t *testing.T) {
	at := func(s int) time.Time { return time.Date(2026, 12, 3, 6, 0, s, 0, time.UTC) }
	record := func(s int, process string, area trail.Area, action, request, subject, choice string) trail.Decision {
		return trail.Decision{
			Time: at(s), Process: process, Area: area, Action: action,
			Request: request, Subject: subject, Choice: choice,
		}
	}
	records := []trail.Decision{
		record(1, "e1", trail.AreaConfig, "apply", "", "routes", "1"),
		record(2, "e1", trail.AreaConfig, "apply", "", "routes", "2"),
		record(2, "e2", trail.AreaConfig, "apply", "", "routes", "2"),
		record(3, "e1", trail.AreaConfig, "storeLost", "", "", ""),
		record(4, "e1", trail.AreaMember, "gained", "", "i-1", "10.0.0.1:80"),
		record(4, "e1", trail.AreaMember, "gained", "", "i-2", "10.0.0.2:80"),
		record(5, "e1", trail.AreaRouting, "placed", "r1", "route", "i-1"),
		record(5, "e1", trail.AreaRouting, "placed", "r2", "route", "i-1"),
		record(6, "e1", trail.AreaMember, "lost", "", "i-1", "10.0.0.1:80"),
		record(7, "e1", trail.AreaCall, "attempt", "r1", "", "i-1"),
		record(8, "e1", trail.AreaCall, "answer", "r1", "route", "i-1"),
		record(9, "e1", trail.AreaConfig, "storeBack", "", "", ""),
	}
	var got []string
	for _, l := range Explain(records, "r1") {
		got = append(got, l.Decision.Action+" "+l.Decision.Choice)
	}
	want := []string{"apply 2", "storeLost ", "gained 10.0.0.1:80", "placed i-1", "lost 10.0.0.1:80", "attempt i-1", "answer i-1"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("explanation (-want +got):\n%s", diff)
	}
	if got := Explain(records, "none"); got != nil {
		t.Errorf("an unknown request has %d lines", len(got))
	}
}

// A request arrived, waited for seconds while its process was paused and then
// learned of a new version, and was refused. It has a single record, written at
// its end. The explanation must still separate what the process knew when the
// request arrived from what changed afterwards.
func TestExplainIncludesStateFromBeforeTheRequest(t *testing.T) {
	at := func(s int) time.Time { return time.Date(2026, 12, 3, 6, 0, s, 0, time.UTC) }
	records := []trail.Decision{
		{Time: at(1), Process: "e1", Area: trail.AreaConfig, Action: "state", Subject: "state", Revision: 1},
		{Time: at(3), Process: "e1", Area: trail.AreaConfig, Action: "state", Subject: "state", Revision: 3},
		{Time: at(5), Process: "e1", Area: trail.AreaMember, Action: "stoodStill", TookMS: 900},
		{Time: at(5), Process: "e1", Area: trail.AreaMember, Action: "sideHeard", Choice: "10.0.0.1:80"},
		{Time: at(6), Process: "e1", Area: trail.AreaConfig, Action: "versionNamed", Subject: "m", Choice: "2"},
		{Time: at(7), Process: "e1", Area: trail.AreaRouting, Action: "versionDemanded", Subject: "m", Version: 2},
		{Time: at(8), Process: "e1", Area: trail.AreaCall, Action: "answer", Request: "r1", TookMS: 4000},
	}
	var got []string
	for _, l := range Explain(records, "r1") {
		got = append(got, l.Decision.Action)
	}
	want := []string{"state", "stoodStill", "versionNamed", "versionDemanded", "answer"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("explanation (-want +got):\n%s", diff)
	}
}

// A request is refused because its fingerprint is known to crash targets. The
// attempts that showed this had other request ids, so they must be found by the
// fingerprint.
func TestExplainIncludesWhyARequestIsBlocked(t *testing.T) {
	at := func(s int) time.Time { return time.Date(2026, 12, 3, 6, 0, s, 0, time.UTC) }
	records := []trail.Decision{
		{Time: at(1), Process: "e1", Area: trail.AreaRouting, Action: "requestSuspected", Fingerprint: "aa"},
		{Time: at(2), Process: "e1", Area: trail.AreaRouting, Action: "requestBlocked", Fingerprint: "aa", Reason: "told by e2"},
		{Time: at(3), Process: "e1", Area: trail.AreaRouting, Action: "requestBlocked", Fingerprint: "bb"},
		{Time: at(4), Process: "e1", Area: trail.AreaCall, Action: "answer", Request: "r1", Fingerprint: "aa"},
	}
	var got []string
	for _, l := range Explain(records, "r1") {
		got = append(got, l.Decision.Action+" "+l.Decision.Fingerprint+" "+l.Decision.Reason)
	}
	want := []string{"requestBlocked aa told by e2", "answer aa "}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("explanation (-want +got):\n%s", diff)
	}
}

// Guards against an explanation of a refusal that leaves out why no target might have the
// request: the evacuation of a zone, a faulty list of allowed regions, or the admission level of
// its service.
func TestExplainTellsWhyTargetsWereExcluded(t *testing.T) {
	at := func(s int) time.Time { return time.Date(2026, 12, 3, 6, 0, s, 0, time.UTC) }
	records := []trail.Decision{
		{Time: at(1), Process: "e1", Area: trail.AreaConfig, Action: "limitItem", Subject: "op/config", Reason: "unknown region"},
		{Time: at(2), Process: "e1", Area: trail.AreaConfig, Action: "evacuate", Subject: "z1"},
		{Time: at(3), Process: "e1", Area: trail.AreaConfig, Action: "evacuate", Subject: "z2"},
		{Time: at(4), Process: "e1", Area: trail.AreaConfig, Action: "evacuationEnded", Subject: "z2"},
		{Time: at(4), Process: "e1", Area: trail.AreaAdmission, Action: trail.ActionLevelChanged, Service: "other"},
		{Time: at(4), Process: "e1", Area: trail.AreaAdmission, Action: trail.ActionLevelChanged, Service: "svc", Subject: "the service's"},
		{Time: at(5), Process: "e1", Area: trail.AreaCall, Action: "answer", Request: "r1", Reason: "zoneEvacuated", Service: "svc", Level: &trail.AdmissionLevel{}},
	}
	var got []string
	for _, l := range Explain(records, "r1") {
		got = append(got, l.Decision.Action+" "+l.Decision.Subject)
	}
	want := []string{"limitItem op/config", "evacuate z1", "evacuationEnded z2", "levelChanged the service's", "answer "}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("explanation (-want +got):\n%s", diff)
	}
}

// Guards against an explanation that leaves out which target has sent without end, or that shows
// this in place of whether the target was listed.
func TestExplainNamesTargetsWhoseResponsesWereCutOff(t *testing.T) {
	at := func(s int) time.Time { return time.Date(2026, 12, 3, 6, 0, s, 0, time.UTC) }
	records := []trail.Decision{
		{Time: at(1), Process: "e1", Area: trail.AreaMember, Action: "gained", Subject: "i-1"},
		{Time: at(2), Process: "e1", Area: trail.AreaMember, Action: trail.ActionReadCutOff, Subject: "i-1", Reason: "head: 1"},
		{Time: at(3), Process: "e1", Area: trail.AreaMember, Action: trail.ActionReadCutOff, Subject: "i-2", Reason: "head: 2"},
		{Time: at(4), Process: "e1", Area: trail.AreaCall, Action: "attempt", Request: "r1", Choice: "i-1", Cause: trail.ActionReadCutOff},
	}
	var got []string
	for _, l := range Explain(records, "r1") {
		got = append(got, l.Decision.Action+" "+l.Decision.Reason)
	}
	if diff := cmp.Diff([]string{"gained ", "readCutOff head: 1", "attempt "}, got); diff != "" {
		t.Errorf("explanation (-want +got):\n%s", diff)
	}
}
