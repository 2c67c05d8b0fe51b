package stage

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/bound"
	"hawthornferry/standin/flood"
)

// Guards against a chunk that is taken for staged although the engine reset the connection while
// it was still being written.
func TestChunkResetDuringUploadIsNotStaged(t *testing.T) {
	engine, err := flood.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Listener.Close()
	engine.Answer = func(conn net.Conn, _ *http.Request, _ int) {
		flood.AnswerAndReset(conn, "HTTP/1.1 200 OK\r\n\r\n", 10*time.Millisecond)
	}
	go engine.Run()
	c := &Client{Address: engine.Addr(), HTTP: http.Client{Transport: bound.NewTransport(net.Dialer{})}}
	b := []byte(strings.Repeat("x", 8<<20))
	for range 10 {
		if _, err := c.call(t.Context(), http.MethodPut, "/v1/staging/"+string(chunk.DigestOf(b)), b, 0, http.StatusOK); err == nil {
			t.Error("no error")
		}
	}
}
