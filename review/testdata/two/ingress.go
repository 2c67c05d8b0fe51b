package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ingress is the platform's ingress: it asks each entry once a second whether it is ready, and
// takes it out after two misses. A client of a zone without an entry in rotation is sent to the
// entries of the others, which are equally near.
type ingress struct {
	fronts, ready []netip.AddrPort
	rec           *recorder

	mu     sync.Mutex
	misses []int
}

func newIngress(fronts, ready []netip.AddrPort, rec *recorder) *ingress {
	g := &ingress{fronts: fronts, ready: ready, rec: rec, misses: make([]int, len(fronts))}
	for i := range g.misses {
		g.misses[i] = 2
	}
	return g
}

func (g *ingress) run(ctx context.Context) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for i := range g.fronts {
			go g.ask(client, i)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func (g *ingress) ask(client *http.Client, i int) {
	resp, err := client.Get("http://" + g.ready[i].String() + "/readyz")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		resp.Body.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	was := g.misses[i] < 2
	if ok {
		g.misses[i] = 0
	} else {
		g.misses[i]++
	}
	if is := g.misses[i] < 2; is != was {
		g.rec.logf("ingress: entry %d in rotation: %v", i, is)
	}
}

// pick returns the entry for a new connection of a client of a zone; n is the client's hash.
func (g *ingress) pick(zone, n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.misses[zone] < 2 {
		return zone
	}
	var others []int
	for i := range g.fronts {
		if i != zone && g.misses[i] < 2 {
			others = append(others, i)
		}
	}
	if len(others) == 0 {
		return zone
	}
	return others[n%len(others)]
}

// answer is what a client got for one request.
type answer struct {
	status   int
	complete bool
	signed   bool
	body     []byte
	// service is that of the replica, as a header of its answer says.
	service string
	err     error
}

// conn is a client's connection.
type conn struct {
	net.Conn
	r     *bufio.Reader
	entry int
}

// connectTimeout is what clients allow a new connection.
const connectTimeout = time.Second

func (g *ingress) connect(zone, n int) (*conn, error) {
	i := g.pick(zone, n)
	c, err := net.DialTimeout("tcp", g.fronts[i].String(), connectTimeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, r: bufio.NewReader(c), entry: i}, nil
}

// request sends one request on the connection and reads the answer.
func (c *conn) request(method, host, path, id, extra string, body string, deadline time.Duration) answer {
	_ = c.SetDeadline(time.Now().Add(deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", method, path, host, headerAttempt, id, headerDeadline, deadline.Milliseconds(), extra)
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(c.Conn, b.String()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, signed: resp.Header.Get(headerSignature) != "", service: resp.Header.Get("X-Service")}
	a.body, a.err = io.ReadAll(resp.Body)
	a.complete = a.err == nil
	if resp.Close {
		a.err = errors.Join(a.err, errClosing)
	}
	return a
}

var errClosing = errors.New("connection: close")

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }
