package front

import (
	"hawthornferry/core/process/trail"
	"hawthornferry/io/conn/sessn"
)

// noteStream writes down which version a target answers a stream with, and
// whether a part of the stream has left before: replay holds the versions of
// one stream against each other.
func (f *Front) noteStream(k *work, m *member, rl relay, h *sessn.Head) {
	r, ok := rl.(*eventRelay)
	if !ok {
		return
	}
	d := trail.Decision{
		Area: trail.AreaCall, Action: "stream", Request: k.req.ID, Customer: k.req.Customer,
		Service: k.req.Service, Subject: h.Header.Get(headerManifest), Choice: m.client.VM.Name,
		Revision: f.Self.Revision.Load(),
	}
	if r.begun() {
		d.Outcome = "resumed"
	}
	f.Log.Decide(d)
}
