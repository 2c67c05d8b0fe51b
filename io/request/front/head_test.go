package front

import (
	"io"
	"net"
	"net/http"
	"testing"

	"hawthornferry/core/request/calls"
	"hawthornferry/standin/flood"
)

// Guards against an answer whose head is not valid that reaches the caller, or that ends the
// caller's connection without an answer.
func TestAnswerWithInvalidHeadIsNotPassedOn(t *testing.T) {
	tests := []struct{ name, head string }{
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 6\r\n"},
		{"status 099", "HTTP/1.1 099 OK\r\nContent-Length: 6\r\n"},
		{"blank within a name", flood.StatusLine + "Content-Length: 6\r\nX Name: 1\r\n"},
		{"blank after the length's name", flood.StatusLine + "Content-Length : 3\r\n"},
		{"control byte in a name", flood.StatusLine + "X\x01Name: 1\r\nContent-Length: 6\r\n"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			target, err := flood.Listen()
			if err != nil {
				t.Fatal(err)
			}
			defer target.Listener.Close()
			target.Answer = func(conn net.Conn, _ *http.Request, _ int) { _, _ = io.WriteString(conn, tc.head+"\r\nfaulty") }
			go target.Run()
			fl := newTestFleet(t)
			fl.runSide("b1", "booking", target.Addr(), nil)
			e := fl.addEntry("e1")
			fl.waitReady(e, "booking", 1)
			for _, path := range []string{payPath, "/v1/services/booking/search"} {
				got := fl.call(e, http.MethodPost, path, "text", nil)
				if got.Truncated || got.Status < http.StatusInternalServerError {
					t.Errorf("%s: status %d, body %q, truncated %t", path, got.Status, got.Body, got.Truncated)
				}
				check(t, path+": outcome", string(calls.OutcomeUnknown), got.Header.Get(headerOutcome))
			}
		})
	}
}
