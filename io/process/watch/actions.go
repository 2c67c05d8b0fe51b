package watch

import (
	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/gossip"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
)

// performActions performs the actions that the node returned.
func (w *Watcher) performActions(actions []gossip.Action) {
	for _, a := range actions {
		w.performAction(a)
	}
}

func (w *Watcher) performAction(a gossip.Action) {
	switch a := a.(type) {
	case gossip.SendMarks:
		w.send(a.Peer, &marksMsg{a.Marks})
	case gossip.SendPull:
		w.send(a.Peer, &pullMsg{a.Pull})
	case gossip.SendDelta:
		w.send(a.Peer, &deltaMsg{a.Delta})
	case gossip.Adopt:
		w.adopt(a)
	case gossip.Ignored:
		w.ignore(a)
	case gossip.Refused:
		w.refuse(a)
	case gossip.Conflict:
		w.conflict(a)
	}
}

// accept validates a state before the node adopts it, and keeps the decoded
// state for adopt.
func (w *Watcher) accept(t gossip.Topic, s gossip.State) error {
	if t == gossip.TopicVMs {
		vms, err := w.decoder.Decode(s)
		w.acceptedVMs = vms
		return err
	}
	d, err := w.decode(s)
	w.accepted = d
	return err
}

func (w *Watcher) decode(s gossip.State) (*envdoc.Document, error) {
	d, err := gossip.DecodeDocument(w.Environment, s)
	if err != nil {
		return nil, err
	}
	if d.Name != w.Environment {
		return nil, environmentMismatch(d.Name, w.Environment)
	}
	return d, nil
}

func (w *Watcher) adopt(a gossip.Adopt) {
	if a.Topic == gossip.TopicVMs {
		w.adoptVMs(a.State)
		return
	}
	d := w.accepted
	w.documents.held.Store(d.Revision)
	w.Self.Revision.Store(d.Revision)
	w.update(func(v *view.View) { v.Document = d })
	w.Metrics.Counter("config_adopted").Inc(1)
	w.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: "inForce", Subject: d.Name, Revision: d.Revision})
}

func (w *Watcher) adoptVMs(s gossip.State) {
	vms := w.acceptedVMs
	w.logVMChanges(w.Current().VMs, vms, s.Mark.Version)
	w.zoneVMs = liveVMsInZone(vms, w.Self.VM.Zone)
	w.dialer.candidates = gossip.RankPeers(w.Self.VM.Name, w.Self.VM.Zone, vms)
	w.vmList.held.Store(s.Mark.Version)
	w.update(func(v *view.View) { v.VMs = vms })
	now := w.Clock.Now()
	w.electReader(now)
	w.connect(now)
}

// logVMChanges logs each VM that was added, removed or changed. Both lists are
// sorted by name.
func (w *Watcher) logVMChanges(old, next []fleet.VM, version uint64) {
	for _, v := range next {
		for len(old) > 0 && old[0].Name < v.Name {
			w.logVM("gone", old[0].Name, version)
			old = old[1:]
		}
		if len(old) > 0 && old[0].Name == v.Name {
			was := old[0]
			old = old[1:]
			if was == v {
				continue
			}
		}
		w.logVM(string(v.State), v.Name, version)
	}
	for _, v := range old {
		w.logVM("gone", v.Name, version)
	}
}

func (w *Watcher) logVM(state, name string, version uint64) {
	w.Log.Record(trail.Decision{Area: trail.AreaMember, Action: state, Subject: name, Revision: version})
}

func (w *Watcher) ignore(a gossip.Ignored) {
	w.Metrics.Counter("config_ignored").Inc(1)
	w.Log.Record(trail.Decision{
		Area: trail.AreaConfig, Action: "ignore", Subject: string(a.Topic),
		Revision: a.Mark.Version, Reason: "not above the version in force",
	})
}

func (w *Watcher) refuse(a gossip.Refused) {
	w.Metrics.Counter("config_refused").Inc(1)
	if a.Topic == gossip.TopicDocument && a.Mark.Version > 0 {
		w.documents.refused.Store(max(a.Mark.Version, w.documents.refused.Load()))
		w.setFault(a.Mark.Version, a.Err.Error())
	}
	w.Log.Record(trail.Decision{
		Area: trail.AreaConfig, Action: "refuse", Subject: string(a.Topic),
		Choice: w.peerName(a.Peer), Revision: a.Mark.Version, Reason: a.Err.Error(),
	})
}

func (w *Watcher) conflict(a gossip.Conflict) {
	w.Metrics.Counter("config_conflicts").Inc(1)
	w.Log.Record(trail.Decision{
		Area: trail.AreaConfig, Action: "conflict", Subject: string(a.Topic),
		Choice: w.peerName(a.Peer), Revision: a.Mark.Version,
		Reason: "other content has the same revision; promote again",
	})
}
