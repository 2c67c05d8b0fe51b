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

// engineStub acts as an engine that serves manifest and handles chat completions with
// chat.
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

// Callers receive the target's response for each kind of call: a repeatable call, a
// once-call, which also carries an outcome header, and a stream.
func TestCallsReachTheirTarget(t *testing.T) {
	fl := newTestFleet(t)
	fl.addSide("b1", "booking", http.HandlerFunc(echo))
	fl.addSide("h1", "helper", engineStub(manifestA, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, s := range []string{"a", "b"} {
			io.WriteString(w, token(s))
			w.(http.Flusher).Flush()
		}
		io.WriteString(w, "data: [DONE]\n\n")
	}))
	e := fl.addEntry("e1")
	fl.waitReady(e, "booking", 1)
	fl.waitReady(e, "helper", 1)
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
			got := fl.call(e, tc.method, tc.path, tc.body, nil)
			if diff := cmp.Diff(tc.want, got.Body); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.outcome, got.Header.Get(headerOutcome)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
	want := []OutcomeCount{
		{Customer: anonymousCustomer, Service: "booking", Outcome: calls.OutcomeDone, Count: 5},
		{Customer: anonymousCustomer, Service: "helper", Outcome: calls.OutcomeDone, Count: 1},
	}
	if diff := cmp.Diff(want, e.front.Outcomes()); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}
