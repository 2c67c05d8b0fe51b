package front

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"hawthornferry/io/conn/sessn"
	"hawthornferry/standin/flood"
)

// Guards against events without a token that are held without end, since no token follows them.
func TestHeldEventsAreBounded(t *testing.T) {
	for _, event := range []string{"data: {}\n\n", ": comment\r\n\r\n", "\n\n", "data: " + strings.Repeat("x", maxHeldBytes/2) + "\n\n"} {
		r := &eventRelay{}
		err := r.onHead(&sessn.Head{Status: http.StatusOK, Header: http.Header{"Content-Type": {mediaTypeEventStream}}})
		block := bytes.Repeat([]byte(event), 1+(32<<10)/len(event))
		for sent := 0; err == nil && sent < 16*maxHeldBytes; sent += len(block) {
			err = r.onData(block)
		}
		if !errors.Is(err, errHeldTooLarge) || cap(r.heldEvents) > 2*maxHeldBytes {
			t.Errorf("%.20q: error %v, %d bytes held, want error %v", event, err, cap(r.heldEvents), errHeldTooLarge)
		}
	}
}

// Guards against responses without end that are read until the caller closes the connection.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	const floodBytes = 64 << 20
	responses := append([]flood.Response{
		{Name: "a body", Begin: flood.StatusLine + "\r\n", Repeat: "x"},
		{Name: "a chunk extension", Begin: flood.StatusLine + flood.ChunkedLine + "\r\n1;", Repeat: "x"},
		{Name: "a trailer", Begin: flood.StatusLine + flood.ChunkedLine + "\r\n0\r\n", Repeat: "A: b\r\n"},
	}, flood.Heads...)
	for _, f := range responses {
		t.Run(f.Name, func(t *testing.T) {
			target, err := flood.Listen()
			if err != nil {
				t.Fatal(err)
			}
			var sent atomic.Int64
			target.Answer = func(conn net.Conn, _ *http.Request, _ int) {
				n, _ := f.Write(conn, floodBytes)
				sent.Add(int64(n))
			}
			var wg sync.WaitGroup
			wg.Go(target.Run)
			fl := newTestFleet(t)
			fl.runSide("b1", "booking", target.Addr(), nil)
			e := fl.addEntry("e1")
			fl.waitReady(e, "booking", 1)
			if got := fl.call(e, http.MethodPost, payPath, "text", nil); got.Status == http.StatusOK {
				t.Errorf("status %d, body of %d bytes, truncated %t", got.Status, len(got.Body), got.Truncated)
			}
			target.Listener.Close()
			wg.Wait()
			if sent.Load() >= floodBytes {
				t.Errorf("%d bytes sent", sent.Load())
			}
		})
	}
}
