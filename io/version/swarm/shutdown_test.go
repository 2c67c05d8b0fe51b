package swarm

import "testing"

// An Update during shutdown must not start goroutines after Run has waited for
// them; a transfer would continue in a node that counts as stopped.
func TestUpdateDuringShutdown(t *testing.T) {
	p := newFakeOrigin(t)
	d := p.publish(t, "1", 1<<10, seq(0, 4)...)
	for range 40 {
		c := newCluster(t, p, "r1")
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.stops[0]()
		}()
		c.setWanted(d, c.nodes...)
		<-done
	}
}
