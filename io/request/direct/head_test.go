package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/table"
	"hawthornferry/io/conn/bound"
	"hawthornferry/standin/flood"
)

// invalidHeads are the beginnings of responses, up to the empty line, that are not valid.
var invalidHeads = []struct{ name, head string }{
	{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 6\r\n"},
	{"status 000 without a reason", "HTTP/1.1 000\r\nContent-Length: 6\r\n"},
	{"status 099", "HTTP/1.1 099 OK\r\nContent-Length: 6\r\n"},
	{"status with a sign", "HTTP/1.1 +00 OK\r\nContent-Length: 6\r\n"},
	{"blank within a name", flood.StatusLine + "Content-Length: 6\r\nX Name: 1\r\n"},
	{"blank after a name", flood.StatusLine + "X-Name : 1\r\nContent-Length: 6\r\n"},
	{"blank after the length's name", flood.StatusLine + "Content-Length : 3\r\n"},
	{"blank after the encoding's name", flood.StatusLine + "Transfer-Encoding : chunked\r\n"},
	{"blank before the first name", flood.StatusLine + " X-Name: 1\r\nContent-Length: 6\r\n"},
	{"blank before another name", flood.StatusLine + "Content-Length: 6\r\n X-Name: 1\r\n"},
	{"blank before the length's name", flood.StatusLine + "X-Name: 1\r\n Content-Length: 3\r\n"},
	{"tab before another name", flood.StatusLine + "X-Name: 1\r\n\tContent-Length: 3\r\n"},
	{"blank in a name of an interim response", "HTTP/1.1 103 -\r\nX Name: 1\r\n\r\n" + flood.StatusLine + "Content-Length: 6\r\n"},
	{"tab within a name", flood.StatusLine + "X\tName: 1\r\nContent-Length: 6\r\n"},
	{"null byte in a name", flood.StatusLine + "X\x00Name: 1\r\nContent-Length: 6\r\n"},
	{"control byte in a name", flood.StatusLine + "X\x01Name: 1\r\nContent-Length: 6\r\n"},
	{"carriage return in a name", flood.StatusLine + "X\rName: 1\r\nContent-Length: 6\r\n"},
	{"delete in a name", flood.StatusLine + "X-Name\x7f: 1\r\nContent-Length: 6\r\n"},
	{"control byte before a name", flood.StatusLine + "\x0bX-Name: 1\r\nContent-Length: 6\r\n"},
	{"control byte in a value", flood.StatusLine + "X-Name: \x01\r\nContent-Length: 6\r\n"},
	{"empty name", flood.StatusLine + ": 1\r\nContent-Length: 6\r\n"},
	{"no colon", flood.StatusLine + "X-Name\r\nContent-Length: 6\r\n"},
}

// Guards against an answer whose head is not valid that reaches the caller, with an invalid field
// or with another body than the target's.
func TestAnswerWithInvalidHeadIsNotPassedOn(t *testing.T) {
	for _, h := range invalidHeads {
		for _, kind := range anyKind {
			t.Run(h.name+", "+string(kind), func(t *testing.T) {
				target := newFloodTarget(t)
				target.Answer = func(conn net.Conn, _ *http.Request, _ int) { _, _ = io.WriteString(conn, h.head+"\r\nfaulty") }
				e := newFloodEntry(t, 1<<30, []*floodTarget{target}, 1, answerSound)
				for i := range 6 {
					status, body, err := e.call(t, kind, fmt.Sprint(i))
					switch {
					case err == nil && status == http.StatusOK && isSound(kind, body):
					case err == nil && status == http.StatusBadGateway && kind == table.KindAtMostOnce:
					default:
						t.Errorf("status %d, body %q, error %v", status, body, err)
					}
				}
				if target.Requests.Load() == 0 {
					t.Error("the faulty target got no request")
				}
				if n := e.crashes.failures.Load(); n > 0 {
					t.Errorf("%d attempts taken for crashes", n)
				}
				if !e.log.has(trail.ActionReadCutOff, string(bound.Format)+": ") {
					t.Error("not logged")
				}
			})
		}
	}
}
