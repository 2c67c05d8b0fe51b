package feed

import (
	"slices"
	"strconv"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/verlog"
)

func versionText(v uint64) string { return strconv.FormatUint(v, 10) }

// logStore logs that the store was lost or has come back.
func (f *Feed) logStore(err error) {
	up := err == nil
	if up == f.loggedStoreUp && f.storeLogged {
		return
	}
	f.loggedStoreUp, f.storeLogged = up, true
	d := trail.Decision{Area: trail.AreaConfig, Action: "storeBack", Revision: f.Self.Revision.Load()}
	if !up {
		d.Action, d.Reason = "storeLost", err.Error()
	}
	f.Log.Record(d)
}

// logUpstreamLost logs that this process has left an upstream or a relay, and why.
func (f *Feed) logUpstreamLost(p Peer, err error) {
	f.Log.Record(trail.Decision{
		Area: trail.AreaConfig, Action: "upstreamLost", Choice: p.Address.String(), Reason: err.Error(),
		Revision: f.Self.Revision.Load(),
	})
}

// logFirstState logs that this process has got its first state. A line for each target in
// it would make the logs of a start grow with the square of the fleet.
func (f *Feed) logFirstState(revision uint64) {
	targets := 0
	for _, fact := range f.decoded {
		if fact.Target != nil {
			targets++
		}
	}
	f.Log.Record(trail.Decision{Area: trail.AreaMember, Action: "listed", Load: targets, Revision: revision})
}

func (f *Feed) logTarget(action string, fact DecodedItem, revision uint64) {
	t := fact.Target
	if t == nil {
		return
	}
	f.Log.Record(trail.Decision{
		Area: trail.AreaMember, Action: action, Service: t.Service, Subject: t.ID,
		Choice: t.Address.String(), Revision: revision,
	})
}

// logProblems logs the faults of a configuration that is used nevertheless.
func (f *Feed) logProblems(it Item, problems []error) {
	for _, err := range problems {
		f.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: "limitItem", Subject: it.Key, Reason: reasonOf(err), Revision: it.Revision})
		f.Metrics.Counter("items_limited_total").Inc(1)
	}
}

// logEvacuation logs that the evacuation of a zone has begun or ended.
func (f *Feed) logEvacuation(action string, fact DecodedItem, revision uint64) {
	if fact.EvacuatedZone == "" {
		return
	}
	f.Log.Record(trail.Decision{Area: trail.AreaConfig, Action: action, Subject: fact.EvacuatedZone, Revision: revision})
}

// logAnnouncementTimes logs the announcement times that peers have changed;
// before holds the entries before the change.
func (f *Feed) logAnnouncementTimes(before []verlog.Entry) {
	for _, e := range f.announcements.All() {
		i := slices.IndexFunc(before, func(b verlog.Entry) bool { return b.Model == e.Model && b.Version == e.Version })
		if i >= 0 && before[i].Exact == e.Exact && before[i].FromReturn == e.FromReturn {
			continue
		}
		reason := "no process is known to have received it when it was announced"
		switch {
		case e.Exact:
			reason = "received when it was announced"
		case e.FromReturn:
			reason = "the store was unreachable and came back"
		}
		f.Log.Record(trail.Decision{
			Area: trail.AreaConfig, Action: "versionDated", Subject: e.Model, Choice: versionText(e.Version),
			Reason: reason, AgeMS: (f.Uptime() - e.Since).Milliseconds(),
		})
	}
}

// logVersion logs a version that this process has read. AgeMS is how long ago
// it last knew that there was no such version: the version was announced since
// then, or just now if live is set.
func (f *Feed) logVersion(v *facts.ModelVersion, revision uint64, live bool) {
	d := trail.Decision{
		Area: trail.AreaConfig, Action: "versionNamed", Subject: v.Model, Choice: versionText(v.Version), Revision: revision,
	}
	switch {
	case !f.known:
		d.Reason = "found at the start"
	case live:
		d.Reason = "received when it was announced"
	default:
		d.Reason = "received late or from a peer"
	}
	if f.known {
		d.AgeMS = (f.Uptime() - f.confirmed).Milliseconds()
	}
	f.Log.Record(d)
}
