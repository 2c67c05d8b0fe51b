package sessn

import "context"

// Flush waits until the entry at each open connection has read everything that was
// sent to it before the call of Flush, or until ctx ends. announce must cause a
// heartbeat to be sent.
//
// A process that exits right after its last answer may lose it: closing a socket
// that has unread input discards the data that the peer has not received, and the
// caller of a finished call would get the outcome unknown. Messages on a connection
// keep their order, so the answer to a later heartbeat shows that everything before
// it has been read.
func (s *Server) Flush(ctx context.Context, announce func()) error {
	s.mu.Lock()
	wanted := make(map[*sideConn]int, len(s.conns))
	for c := range s.conns {
		wanted[c] = c.nextHeartbeat()
	}
	s.mu.Unlock()
	announce()
	for c, n := range wanted {
		if err := c.awaitAnswers(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) addConn(c *sideConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*sideConn]bool{}
	}
	s.conns[c] = true
}

func (s *Server) removeConn(c *sideConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// nextHeartbeat returns the number of the next heartbeat to be sent, from 1.
func (c *sideConn) nextHeartbeat() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heartbeatsSent + 1
}

// onAlive counts the entry's answer to a heartbeat and wakes those that wait for it.
func (c *sideConn) onAlive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answerReceived == nil {
		return
	}
	c.heartbeatsAnswered++
	close(c.answerReceived)
	c.answerReceived = make(chan struct{})
}

// stopAwaiting wakes those that wait for an answer to a heartbeat, because the
// connection has ended and no answer will come.
func (c *sideConn) stopAwaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.answerReceived)
	c.answerReceived = nil
}

// awaitAnswers waits until the entry has answered n heartbeats or the connection
// has ended.
func (c *sideConn) awaitAnswers(ctx context.Context, n int) error {
	for {
		c.mu.Lock()
		heard, ok := c.answerReceived, c.heartbeatsAnswered >= n
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
