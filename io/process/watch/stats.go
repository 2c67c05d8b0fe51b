package watch

import (
	"hawthornferry/core/process/gossip"
)

// Stats says how the configuration gets here, for the administration API.
// Service is the highest revision that this process has read itself, Refused
// the highest that was refused and Fault why, Conflict the revision in force
// when it was given to other content as well. Received and Sent are bytes
// over all configuration connections so far, Platform those of documents and
// VM lists that this process has read itself.
type Stats struct {
	Revision    uint64
	Service     uint64
	Refused     uint64
	Fault       string
	Conflict    uint64
	ListVersion uint64
	Reader      bool
	Peers       int
	Received    uint64
	Sent        uint64
	Platform    uint64
}

// Stats returns the latest figures; they are taken once in each exchange.
func (w *Watcher) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

func (w *Watcher) setService(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Service = revision
}

func (w *Watcher) setFault(revision uint64, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Refused = revision
	w.stats.Fault = reason
}

// countBytes adds a connection that has ended to the totals.
func (w *Watcher) countBytes(p *peerConn) {
	w.closedReceived += p.link.Received()
	w.closedSent += p.link.Sent()
}

// record takes the figures of this exchange.
func (w *Watcher) record() {
	received, sent := w.closedReceived, w.closedSent
	for _, p := range w.conns {
		received += p.link.Received()
		sent += p.link.Sent()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Revision = w.node.Held(gossip.TopicDocument).Mark.Version
	w.stats.ListVersion = w.node.Held(gossip.TopicVMs).Mark.Version
	w.stats.Conflict = w.node.Conflict(gossip.TopicDocument)
	w.stats.Reader = w.docs.reads.Load()
	w.stats.Peers = len(w.conns)
	w.stats.Received = received
	w.stats.Sent = sent
	w.stats.Platform = w.docs.service.read.Load() + w.list.service.read.Load()
	w.Metrics.Gauge("config_revision").Update(float64(w.stats.Revision))
	w.Metrics.Gauge("config_peers").Update(float64(w.stats.Peers))
	w.Metrics.Gauge("config_received_bytes").Update(float64(received))
	w.Metrics.Gauge("config_sent_bytes").Update(float64(sent))
	w.Metrics.Gauge("platform_read_bytes").Update(float64(w.stats.Platform))
}
