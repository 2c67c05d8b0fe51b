package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hawthornferry/core/request/table"
	"hawthornferry/standin/flood"
)

// uploadBytes is more than the buffers of a connection hold, so that the entry is still writing
// when the target answers.
const uploadBytes = 8 << 20

// resetPause is the time from the answer to the reset of the connection.
const resetPause = 30 * time.Millisecond

// upload sends a long request on a new connection, and returns the status and the body. The error
// is set if the answer is not complete.
func (e *floodEntry) upload(t *testing.T, kind table.RouteKind, id string) (status int, body string, err error) {
	req := newRequest(t, http.MethodPost, e.address, "/"+string(kind)+"/"+id, strings.NewReader(strings.Repeat("x", uploadBytes)))
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against a part of an answer that is taken for all of it, because the target resets the
// connection while the request is still being written and only the end of the connection ends the
// answer.
func TestAnswerResetDuringUploadIsNotComplete(t *testing.T) {
	events := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	tests := []struct {
		name, head, body string
		kind             table.RouteKind
		memory           int64
		// partial is set if callers may get a part that does not look complete.
		partial bool
	}{
		{"repeatable", flood.StatusLine + "\r\n", "part", table.KindIdempotent, 1 << 30, false},
		{"repeatable, no memory", flood.StatusLine + "\r\n", "part", table.KindIdempotent, uploadBytes + readChunk/2, true},
		{"repeatable, no body", flood.StatusLine + "\r\n", "", table.KindIdempotent, 1 << 30, false},
		{"runs once", flood.StatusLine + "\r\n", "part", table.KindAtMostOnce, 1 << 30, false},
		{"stream", streamHead, events, table.KindStream, 1 << 30, false},
		{"stream without events", streamHead, "", table.KindStream, 1 << 30, false},
		{"no stream", flood.StatusLine + "\r\n", "part", table.KindStream, 1 << 30, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			target := newFloodTarget(t)
			target.Answer = func(conn net.Conn, _ *http.Request, _ int) {
				flood.AnswerAndReset(conn, tc.head+tc.body, resetPause)
			}
			e := newFloodEntry(t, tc.memory, []*floodTarget{target}, 1, answerSound)
			for i := range 6 {
				status, body, err := e.upload(t, tc.kind, fmt.Sprint(i))
				switch {
				case err == nil && status == http.StatusOK && isSound(tc.kind, body):
				case err == nil && status == http.StatusBadGateway && tc.kind == table.KindAtMostOnce:
				case err != nil && tc.partial:
				default:
					t.Errorf("status %d, body %q, error %v", status, body, err)
				}
			}
			if target.Requests.Load() == 0 {
				t.Error("the faulty target got no request")
			}
		})
	}
}

// Guards against an answer that is rejected although it is whole: it says itself where it ends, or
// the target ends the connection properly.
func TestWholeAnswerDuringUploadIsPassedOn(t *testing.T) {
	tests := []struct {
		name, answer string
		reset        bool
	}{
		{"length", flood.StatusLine + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(soundAnswer), soundAnswer), true},
		{"chunks", flood.StatusLine + flood.ChunkedLine + fmt.Sprintf("\r\n%x\r\n%s\r\n0\r\n\r\n", len(soundAnswer), soundAnswer), true},
		{"end of the connection", flood.StatusLine + "\r\n" + soundAnswer, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			target := newFloodTarget(t)
			target.Answer = func(conn net.Conn, _ *http.Request, _ int) {
				if tc.reset {
					flood.AnswerAndReset(conn, tc.answer, resetPause)
					return
				}
				_, _ = io.WriteString(conn, tc.answer)
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			}
			e := newFloodEntry(t, 1<<30, []*floodTarget{target}, 0, nil)
			status, body, err := e.upload(t, table.KindAtMostOnce, "1")
			if status != http.StatusOK || body != soundAnswer || err != nil {
				t.Errorf("status %d, body %q, error %v", status, body, err)
			}
		})
	}
}
