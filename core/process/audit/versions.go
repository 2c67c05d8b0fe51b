package audit

import (
	"hawthornferry/core/process/trail"
)

// Actions of configuration, membership and placement.
const (
	actionInForce    = "inForce"
	actionLeaving    = "leaving"
	actionLive       = "live"
	actionChoose     = "choose"
	actionVerified   = "verified"
	actionOrder      = "order"
	actionLoadFailed = "loadFailed"
	actionServes     = "serves"
)

// revisions: what a process puts in force is above what it had in force in
// the same boot.
func revisions(records []trail.Decision) Result {
	r := Result{Outcome: OutcomeRevision}
	held := map[boot]uint64{}
	for _, d := range records {
		if d.Area != trail.AreaConfig || d.Action != actionInForce {
			continue
		}
		r.Checked++
		if was := held[bootOf(d)]; d.Revision <= was {
			r.miss(d, "revision %d was put in force after %d", d.Revision, was)
		}
		held[bootOf(d)] = d.Revision
	}
	return r
}

// leaving: from the bound after the first notice of any process on, no entry
// chooses the target, unless a process has seen it live again since.
func leaving(set Settings, records []trail.Decision) Result {
	r := Result{Outcome: OutcomeLeaving}
	notice := map[string]trail.Decision{}
	for _, d := range records {
		switch {
		case d.Area == trail.AreaMember && d.Action == actionLeaving:
			if _, ok := notice[d.Subject]; !ok {
				notice[d.Subject] = d
				r.Checked++
			}
		case d.Area == trail.AreaMember && d.Action == actionLive:
			// A lagging process calls a VM live for a while after another
			// has seen it leave; a higher version of the list is needed to
			// take the notice back.
			if was, ok := notice[d.Subject]; ok && d.Revision > was.Revision {
				delete(notice, d.Subject)
			}
		case d.Area == trail.AreaRouting && d.Action == actionChoose:
			was, ok := notice[d.Choice]
			if late := d.Time.Sub(was.Time); ok && late > set.Leaving {
				r.miss(d, "%s got request %s %v after it was seen to leave", d.Choice, d.Request, late)
			}
		}
	}
	return r
}

// whole: a load is ordered of a manifest that the same process verified
// before, in the same boot. An order that the process took back before it
// went out counts as none.
func whole(records []trail.Decision) Result {
	type key struct {
		boot     boot
		manifest string
	}
	r := Result{Outcome: OutcomeWhole}
	verified := map[key]bool{}
	for i, d := range records {
		k := key{bootOf(d), d.Subject}
		switch {
		case d.Action == actionVerified && d.Area == trail.AreaPlacement:
			verified[k] = true
		case d.Action == actionOrder && d.Area == trail.AreaPlacement:
			r.Checked++
			if !verified[k] && !takenBack(records[i+1:], d) {
				r.miss(d, "a load of %s was ordered before it was verified whole", d.Subject)
			}
		}
	}
	return r
}

func takenBack(later []trail.Decision, order trail.Decision) bool {
	for _, d := range later {
		if bootOf(d) == bootOf(order) && d.Area == trail.AreaPlacement {
			return d.Action == actionLoadFailed && d.Subject == order.Subject
		}
	}
	return false
}

// served: what a target turns to serve after an order is what was ordered.
// What it served when its side started was ordered in an earlier boot.
func served(records []trail.Decision) Result {
	r := Result{Outcome: OutcomeServed}
	ordered := map[boot]map[string]bool{}
	for _, d := range records {
		if d.Area != trail.AreaPlacement {
			continue
		}
		b := bootOf(d)
		switch d.Action {
		case actionOrder:
			if ordered[b] == nil {
				ordered[b] = map[string]bool{}
			}
			ordered[b][d.Subject] = true
		case actionServes:
			if ordered[b] == nil || d.Subject == "" {
				continue
			}
			r.Checked++
			if !ordered[b][d.Subject] {
				r.miss(d, "the target serves %s, which was not ordered", d.Subject)
			}
		}
	}
	return r
}
