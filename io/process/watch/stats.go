package watch

import (
	"hawthornferry/core/process/gossip"
)

// Stats describes the distribution of the configuration, for the administration
// API. ReadRevision is the revision that this process has last read from the
// service itself. RefusedRevision is the revision that was last refused, and
// RefusalReason the reason. ConflictRevision is the revision in force when another
// document with the same revision was received. ReceivedBytes and SentBytes are those of all
// configuration connections, PlatformBytes those of the documents and VM lists that
// this process has read itself.
type Stats struct {
	Revision         uint64
	ReadRevision     uint64
	RefusedRevision  uint64
	RefusalReason    string
	ConflictRevision uint64
	VMListVersion    uint64
	Reader           bool
	Peers            int
	ReceivedBytes    uint64
	SentBytes        uint64
	PlatformBytes    uint64
}

// Stats returns the latest statistics, which are updated once in each
// exchangeInterval.
func (w *Watcher) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

func (w *Watcher) setService(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.ReadRevision = revision
}

func (w *Watcher) setFault(revision uint64, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.RefusedRevision = revision
	w.stats.RefusalReason = reason
}

// countBytes adds the bytes of a connection that has ended to the totals.
func (w *Watcher) countBytes(p *peerConn) {
	w.closedReceived += p.link.Received()
	w.closedSent += p.link.Sent()
}

// updateStats updates the statistics and the gauges.
func (w *Watcher) updateStats() {
	received, sent := w.closedReceived, w.closedSent
	for _, p := range w.conns {
		received += p.link.Received()
		sent += p.link.Sent()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Revision = w.node.Held(gossip.TopicDocument).Mark.Version
	w.stats.VMListVersion = w.node.Held(gossip.TopicVMs).Mark.Version
	w.stats.ConflictRevision = w.node.Conflict(gossip.TopicDocument)
	w.stats.Reader = w.documents.reading.Load()
	w.stats.Peers = len(w.conns)
	w.stats.ReceivedBytes = received
	w.stats.SentBytes = sent
	w.stats.PlatformBytes = w.documents.fetcher.bytesRead.Load() + w.vmList.fetcher.bytesRead.Load()
	w.Metrics.Gauge("config_revision").Update(float64(w.stats.Revision))
	w.Metrics.Gauge("config_peers").Update(float64(w.stats.Peers))
	w.Metrics.Gauge("config_received_bytes").Update(float64(received))
	w.Metrics.Gauge("config_sent_bytes").Update(float64(sent))
	w.Metrics.Gauge("platform_read_bytes").Update(float64(w.stats.PlatformBytes))
}
