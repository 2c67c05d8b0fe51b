// Package flood stands in for faulty machines whose responses never end, or break
// off. The tests of the packages that read responses use it, and the soak.
package flood

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hawthornferry/io/conn/bound"
)

// Beginnings of responses.
const (
	StatusLine  = "HTTP/1.1 200 OK\r\n"
	ChunkedLine = "Transfer-Encoding: chunked\r\n"
	StreamLine  = "Content-Type: text/event-stream\r\n"
)

// blockSize is about how much is written at a time, in bytes.
const blockSize = 16 << 10

// Response is a response that begins with a text and goes on with another one for ever. An empty
// Repeat stands for silence.
type Response struct {
	Name          string
	Begin, Repeat string
	// Bound is what it exceeds.
	Bound bound.Name
}

// Heads are responses whose heads never end, or are none.
var Heads = []Response{
	{"no line end", "", "x", bound.Format},
	{"a header line", StatusLine + "A: ", "x", bound.Head},
	{"headers", StatusLine, "A: b\r\n", bound.Head},
	{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", bound.Head},
	{"interim responses with other spaces", "", "HTTP/1.1  100 Continue\r\n\r\n", bound.Format},
	{"a status line", "HTTP/1.1 200 ", "x", bound.Head},
}

// Write writes the response until that fails or the given number of bytes has been written. It
// returns how many were.
func (r Response) Write(w io.Writer, most int) (sent int, err error) {
	block := strings.Repeat(r.Repeat, 1+blockSize/max(len(r.Repeat), 1))
	for text := r.Begin + block; err == nil && sent < most && text != ""; {
		var n int
		n, err = io.WriteString(w, text)
		sent += n
		text = block
	}
	return sent, err
}

// AnswerAndReset writes an answer and resets the connection after a pause, without having read the
// body of the request.
func AnswerAndReset(conn net.Conn, answer string, pause time.Duration) {
	_, _ = io.WriteString(conn, answer)
	time.Sleep(pause)
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// Server answers each request on a connection of its own. Set Answer before Run.
type Server struct {
	Listener net.Listener
	// Answer answers the request with number n, from 1 on. The connection is closed after it.
	Answer func(conn net.Conn, r *http.Request, n int)

	// Requests counts the requests, and Open the connections that are open.
	Requests atomic.Int64
	Open     atomic.Int64
}

// Listen returns a server on a free port.
func Listen() (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Server{Listener: l}, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// Run serves until the listener is closed, and then until all connections are.
func (s *Server) Run() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	s.Open.Add(1)
	defer s.Open.Add(-1)
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.Answer(conn, r, int(s.Requests.Add(1)))
}
