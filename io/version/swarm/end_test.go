package swarm

import "testing"

// Guards against a node that starts work while it ends: a transfer that begins
// after the end was waited for would go on in a process that counts as stopped.
func TestUpdateBesideTheEnd(t *testing.T) {
	p := newPlatform(t)
	d := p.publish(t, "1", 1<<10, seq(0, 4)...)
	for range 40 {
		c := newCluster(t, p, "r1")
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.stops[0]()
		}()
		c.want(d, c.nodes...)
		<-done
	}
}
