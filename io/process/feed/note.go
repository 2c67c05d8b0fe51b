package feed

import (
	"strconv"

	"hawthornferry/core/process/facts"
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
