package sessn

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"hawthornferry/io/conn/frame"
)

// Stream is the side's end of one call on one connection. Write waits for the
// entry's credit, so a slow caller delays only its own call.
type Stream struct {
	// Start is the call's first message, nil for a Query.
	Start *Start
	// Body is the whole request body.
	Body []byte

	ctx     context.Context
	cancel  context.CancelFunc
	conn    *sideConn
	channel Channel

	mu          sync.Mutex
	credit      int
	creditAdded chan struct{}

	position int
	// bodySize is the length of the request body. started is set once the body is
	// complete. Only the goroutine that reads the connection uses them.
	bodySize int
	started  bool
}

func (s *Stream) bodyIncomplete() bool { return s.Start != nil && !s.started }

func newStream(ctx context.Context, c *sideConn, id Channel) *Stream {
	s := &Stream{conn: c, channel: id, credit: CreditWindow, creditAdded: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// Context ends when the entry cancels the call or the connection is lost.
func (s *Stream) Context() context.Context { return s.ctx }

// Peer is the name of the entry's VM.
func (s *Stream) Peer() string { return s.conn.link.Peer.VM.Name }

// Head sends the status and header of the answer.
func (s *Stream) Head(h Head) error {
	h.Channel = s.channel
	return s.conn.send(&h)
}

// Write sends a part of the answer's body. It blocks until there is credit for all
// of b or the call is cancelled.
func (s *Stream) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		n, err := s.takeCredit(min(len(b)-sent, MaxBlockSize))
		if err != nil {
			return sent, err
		}
		m := &Data{Channel: s.channel, Position: s.position, Data: b[sent : sent+n]}
		if err := s.conn.send(m); err != nil {
			return sent, err
		}
		s.position += n
		sent += n
	}
	return sent, nil
}

// takeCredit waits until there is credit and takes up to want bytes of it.
func (s *Stream) takeCredit(want int) (int, error) {
	for {
		s.mu.Lock()
		n := min(want, s.credit)
		s.credit -= n
		s.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		select {
		case <-s.creditAdded:
		case <-s.ctx.Done():
			return 0, errors.Wrap(s.ctx.Err(), "wait for credit")
		}
	}
}

func (s *Stream) addCredit(n int) {
	s.mu.Lock()
	s.credit = min(s.credit+n, CreditWindow)
	s.mu.Unlock()
	select {
	case s.creditAdded <- struct{}{}:
	default:
	}
}

// Answer sends a complete answer. One of at most MaxBlockSize bytes is sent as one
// message instead of three, which saves two system calls and two wake-ups at each
// end.
func (s *Stream) Answer(h Head, body []byte) error {
	if len(body) <= MaxBlockSize {
		return s.finish(&Answer{
			Channel: s.channel, Status: h.Status, Header: h.Header, Stored: h.Stored, Data: body,
		})
	}
	if err := s.Head(h); err != nil {
		return err
	}
	if _, err := s.Write(body); err != nil {
		return err
	}
	return s.End()
}

// End marks the answer as complete.
func (s *Stream) End() error {
	return s.finish(&End{Channel: s.channel, Size: s.position})
}

// Refuse ends the call without a complete answer.
func (s *Stream) Refuse(r Refusal) error {
	r.Channel = s.channel
	return s.finish(&r)
}

// Verdict answers a query. With open, the stream stays open for the answer.
func (s *Stream) Verdict(v Verdict, open bool) error {
	v.Channel = s.channel
	if open {
		return s.conn.send(&v)
	}
	return s.finish(&v)
}

func (s *Stream) finish(m frame.Message) error {
	s.conn.removeStream(s.channel)
	s.cancel()
	return s.conn.send(m)
}
