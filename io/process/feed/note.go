package feed

import (
	"slices"
	"strconv"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/naming"
	"hawthornferry/core/process/trail"
)

func versionText(v uint64) string { return strconv.FormatUint(v, 10) }

// noteStore writes down that the store was lost or has come back.
func (f *Feed) noteStore(err error) {
	up := err == nil
	if up == f.storeUp && f.told {
		return
	}
	f.storeUp, f.told = up, true
	d := trail.Decision{Area: trail.AreaConfig, Action: "storeBack", Revision: f.Self.Revision.Load()}
	if !up {
		d.Action, d.Reason = "storeLost", err.Error()
	}
	f.Log.Decide(d)
}

func (f *Feed) noteTarget(action string, fact Fact, revision uint64) {
	t := fact.Target
	if t == nil {
		return
	}
	f.Log.Decide(trail.Decision{
		Area: trail.AreaMember, Action: action, Service: t.Service, Subject: t.ID,
		Choice: t.Address.String(), Revision: revision,
	})
}

// noteDated writes down what peers have made known about the moments of namings;
// before is what was known.
func (f *Feed) noteDated(before []naming.Entry) {
	for _, e := range f.namings.All() {
		i := slices.IndexFunc(before, func(b naming.Entry) bool { return b.Model == e.Model && b.Version == e.Version })
		if i >= 0 && before[i].Heard == e.Heard && before[i].Returned == e.Returned {
			continue
		}
		reason := "nobody is known to have heard it named"
		switch {
		case e.Heard:
			reason = "heard as it was named"
		case e.Returned:
			reason = "the store was away and returned"
		}
		f.Log.Decide(trail.Decision{
			Area: trail.AreaConfig, Action: "versionDated", Subject: e.Model, Choice: versionText(e.Version),
			Reason: reason, AgeMS: (f.Awake() - e.Since).Milliseconds(),
		})
	}
}

// noteVersion writes down a version that this process hears of. AgeMS is how
// long before that it last knew that there was none: it was named in between,
// just now if it is said to be heard as it was named.
func (f *Feed) noteVersion(v *facts.Named, revision uint64, live bool) {
	d := trail.Decision{
		Area: trail.AreaConfig, Action: "versionNamed", Subject: v.Model, Choice: versionText(v.Version), Revision: revision,
	}
	switch {
	case !f.known:
		d.Reason = "found at the start"
	case live:
		d.Reason = "heard as it was named"
	default:
		d.Reason = "heard late or from a peer"
	}
	if f.known {
		d.AgeMS = (f.Awake() - f.confirmed).Milliseconds()
	}
	f.Log.Decide(d)
}
