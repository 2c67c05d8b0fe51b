package sessn

import "context"

// Flush waits until the entry of each open connection has read all that was
// sent to it before, or ctx ends. announce must bring about a heartbeat.
//
// A process that ends right after its last answer may lose it: closing a
// socket with unread input discards what the peer has not taken yet, and the
// caller of a finished call would hear unknown. Messages of a connection keep
// their order, so the answer to a later heartbeat shows that all before it
// has been read.
func (s *Server) Flush(ctx context.Context, announce func()) error {
	s.mu.Lock()
	wanted := make(map[*sideConn]int, len(s.conns))
	for c := range s.conns {
		wanted[c] = c.nextBeat()
	}
	s.mu.Unlock()
	announce()
	for c, n := range wanted {
		if err := c.awaitAlive(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) add(c *sideConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*sideConn]bool{}
	}
	s.conns[c] = true
}

func (s *Server) remove(c *sideConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (c *sideConn) nextBeat() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.beaten + 1
}

// onAlive takes the entry's answer to a heartbeat.
func (c *sideConn) onAlive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heardFrom == nil {
		return
	}
	c.alive++
	close(c.heardFrom)
	c.heardFrom = make(chan struct{})
}

// gone tells those who wait that no answer will come any more.
func (c *sideConn) gone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.heardFrom)
	c.heardFrom = nil
}

func (c *sideConn) awaitAlive(ctx context.Context, n int) error {
	for {
		c.mu.Lock()
		heard, ok := c.heardFrom, c.alive >= n
		c.mu.Unlock()
		if ok || heard == nil {
			return nil
		}
		select {
		case <-heard:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
