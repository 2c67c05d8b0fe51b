package sessn

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/core/process/fleet"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// fakeSide is a side that sends one heartbeat on a connection, passes each Start to
// the returned channel, and sends the messages that the test puts into the other
// channel.
func fakeSide(t *testing.T) (*Client, chan *Start, chan frame.Message) {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(nl.Addr().String())
	vm := fleet.VM{Name: "s", Role: fleet.RoleSide, Zone: "z", Region: "r", Address: addr, State: fleet.StateLive}
	starts, answers := make(chan *Start, 8), make(chan frame.Message, 8)
	serve := func(ctx context.Context, c *link.Conn) {
		_ = c.Send(&Heartbeat{Reading: fresh.ClockReading{Boot: "b"}, Ready: true})
		go func() {
			for m := range answers {
				_ = c.Send(m)
			}
		}()
		for {
			m, err := c.Receive()
			if err != nil {
				return
			}
			if s, ok := m.(*Start); ok {
				starts <- s
			}
		}
	}
	h := link.Handler{Kinds: sideKinds(), Serve: serve}
	l := &link.Listener{Self: &link.Self{VM: vm, Boot: "b"}, Net: nl, Handlers: map[link.Purpose]link.Handler{link.PurposeCalls: h}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = l.Run(ctx) }()
	c := &Client{Self: &link.Self{VM: vm, Boot: "e"}, Clock: clockwork.NewRealClock(), VM: vm}
	c.Timing = Timing{HeartbeatInterval: time.Hour, SilenceTimeout: 2 * time.Hour, RedialDelay: time.Millisecond}
	go func() { _ = c.Run(ctx) }()
	for !c.Status().Connected {
		time.Sleep(time.Millisecond)
	}
	return c, starts, answers
}

func startCall(t *testing.T, c *Client, starts chan *Start) (*Call, Channel) {
	t.Helper()
	echo, _ := c.ClockReading()
	call, err := c.Start(&Start{Request: "r", EchoedReading: echo, Method: http.MethodGet, Path: "/", Timeout: time.Minute}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return call, (<-starts).Channel
}

// collect returns the body of a call's answer as far as it was received, and the
// error that ended it.
func collect(call *Call) (string, error) {
	body := ""
	for {
		m, err := call.Next(context.Background())
		if err != nil {
			return body, err
		}
		switch m := m.(type) {
		case *Data:
			body += string(m.Data)
		case *End:
			return body, nil
		}
	}
}

// Guards against passing off an incomplete answer as complete: a block is missing or
// repeated, or End has a size that differs from the bytes received. The call must
// fail.
func TestMisplacedBlockFailsCall(t *testing.T) {
	tests := []struct {
		name    string
		answers func(ch Channel) []frame.Message
	}{
		{"hole", func(ch Channel) []frame.Message {
			return []frame.Message{
				&Data{Channel: ch, Data: []byte("ab")},
				&Data{Channel: ch, Position: 4, Data: []byte("ef")},
				&End{Channel: ch, Size: 4},
			}
		}},
		{"repetition", func(ch Channel) []frame.Message {
			return []frame.Message{
				&Data{Channel: ch, Data: []byte("ab")},
				&Data{Channel: ch, Data: []byte("ab")},
				&End{Channel: ch, Size: 4},
			}
		}},
		{"early end", func(ch Channel) []frame.Message {
			return []frame.Message{&Data{Channel: ch, Data: []byte("ab")}, &End{Channel: ch, Size: 4}}
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c, starts, answers := fakeSide(t)
			call, ch := startCall(t, c, starts)
			for _, m := range tc.answers(ch) {
				answers <- m
			}
			body, err := collect(call)
			if diff := cmp.Diff("ab", body); diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
			if !errors.Is(err, ErrOutOfOrder) {
				t.Errorf("error %v, want %v", err, ErrOutOfOrder)
			}
		})
	}
}

// Guards against delivering the answer of a cancelled call to another call: it
// arrives late, when the next call on the connection, with another channel, is open.
func TestLateAnswerIsDropped(t *testing.T) {
	c, starts, answers := fakeSide(t)
	left, old := startCall(t, c, starts)
	left.Close(false)
	call, ch := startCall(t, c, starts)
	answers <- &Answer{Channel: old, Status: http.StatusOK, Data: []byte("late")}
	answers <- &Answer{Channel: ch, Status: http.StatusOK, Data: []byte("own")}
	body, err := collect(call)
	if diff := cmp.Diff("own", body); diff != "" || err != nil {
		t.Errorf("error %v, body (-want +got):\n%s", err, diff)
	}
}
