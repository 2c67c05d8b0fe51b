package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/request/calls"
)

func echo(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	if r.Method == http.MethodDelete {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), b)
}

const manifestA = "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

// engineStub answers as an engine that serves manifest, with chat as its chat
// completions.
func engineStub(manifest string, chat http.HandlerFunc) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/state", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"manifest":%q,"running":1,"queued":0,"capacity":8}`, manifest)
	})
	mux.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Manifest", manifest)
		chat(w, r)
	})
	return mux
}

func token(s string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", s)
}

const streamBody = `{"model":"helper","stream":true,"messages":[]}`

// Callers get the target's own answer by each of the three ways: a plain call
// that may be repeated, a once-call with its mark, and a stream.
func TestCallsReachTheirTarget(t *testing.T) {
	w := newWorld(t)
	w.addSide("b1", "booking", http.HandlerFunc(echo))
	w.addSide("h1", "helper", engineStub(manifestA, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, s := range []string{"a", "b"} {
			io.WriteString(w, token(s))
			w.(http.Flusher).Flush()
		}
		io.WriteString(w, "data: [DONE]\n\n")
	}))
	e := w.addEntry("e1")
	w.ready(e, "booking", 1)
	w.ready(e, "helper", 1)
	big := strings.Repeat("x", 200<<10)
	tests := []struct {
		name, method, path, body, want string
		outcome                        string
	}{
		{"get", "GET", "/v1/services/booking/pitch?day=1", "", "GET /pitch?day=1 ", ""},
		{"repeatable post", "POST", "/v1/services/booking/search", "q", "POST /search q", ""},
		{"once", "POST", "/v1/services/booking/holds", "h", "POST /holds h", "done"},
		{"once without an answer body", "DELETE", "/v1/services/booking/holds", "", "", "done"},
		{"once with a large body", "POST", "/v1/services/booking/holds", big, "POST /holds " + big, "done"},
		{"stream", "POST", "/v1/chat/completions", streamBody, token("a") + token("b") + "data: [DONE]\n\n", ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := w.call(e, tc.method, tc.path, tc.body, nil)
			if diff := cmp.Diff(tc.want, got.Body); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.outcome, got.Header.Get(headerOutcome)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
	want := []OutcomeCount{
		{Customer: anonymous, Service: "booking", Outcome: calls.Done, Count: 5},
		{Customer: anonymous, Service: "helper", Outcome: calls.Done, Count: 1},
	}
	if diff := cmp.Diff(want, e.front.Outcomes()); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}
