package front

import (
	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/sessn"
)

// logStreamHead logs the version that answers a stream and whether the caller already
// has a part of it. From this, the replay command checks that no stream mixes versions.
func (s *Server) logStreamHead(rq *request, m *member, rl relay, h *sessn.Head) {
	r, ok := rl.(*eventRelay)
	if !ok {
		return
	}
	d := trail.Decision{
		Area: trail.AreaCall, Action: "stream", Request: rq.routing.ID, Customer: rq.routing.Customer,
		Service: rq.routing.Service, Subject: h.Header.Get(headerManifest), Choice: m.client.VM.Name,
		Revision: s.Self.Revision.Load(),
	}
	if r.started() {
		d.Outcome = "resumed"
	}
	s.Log.Record(d)
}
