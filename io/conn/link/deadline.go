package link

import (
	"net"
	"sync"
	"time"
)

// readDeadlines sets the read deadline of a connection: the earlier of that which its user has
// set, and that of a message of which only a part has arrived. Without the second, a peer that
// sends a message byte by byte would hold the connection and the message's buffer for ever.
type readDeadlines struct {
	conn net.Conn
	// frameTimeout limits the time from the first byte of a message to its last.
	frameTimeout time.Duration

	mu sync.Mutex
	// user and frame are zero if there is no deadline.
	user  time.Time
	frame time.Time
}

// set sets the user's deadline; the zero time removes it.
func (d *readDeadlines) set(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.user = t
	return d.apply()
}

// awaitFrame begins or ends the wait for the rest of a message.
func (d *readDeadlines) awaitFrame(awaited bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frame = time.Time{}
	if awaited {
		d.frame = time.Now().Add(d.frameTimeout)
	}
	// It fails only for a connection that is closed, on which the read fails, too.
	_ = d.apply()
}

// apply sets the deadline of the connection. d.mu must be held.
func (d *readDeadlines) apply() error {
	t := d.user
	if t.IsZero() || !d.frame.IsZero() && d.frame.Before(t) {
		t = d.frame
	}
	return d.conn.SetReadDeadline(t)
}

// frameExpired reports whether a message has not arrived in time.
func (d *readDeadlines) frameExpired() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.frame.IsZero() && !time.Now().Before(d.frame)
}
