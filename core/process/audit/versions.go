package audit

import (
	"hawthornferry/core/process/trail"
)

// Actions of the records on configuration, membership, routing and placement.
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

// checkRevisions checks that every revision that a process puts in force is higher
// than the one before it in the same run of the process.
func checkRevisions(records []trail.Decision) Result {
	r := Result{Guarantee: GuaranteeRevisionOrder}
	inForce := map[boot]uint64{}
	for _, d := range records {
		if d.Area != trail.AreaConfig || d.Action != actionInForce {
			continue
		}
		r.Cases++
		if previous := inForce[bootOf(d)]; d.Revision <= previous {
			r.addViolation(d, "revision %d was put in force after %d", d.Revision, previous)
		}
		inForce[bootOf(d)] = d.Revision
	}
	return r
}

// checkLeaving checks that no entry chooses a target later than set.LeavingGrace
// after any process first recorded that it is leaving, unless a process has since
// recorded it as live again.
func checkLeaving(set Settings, records []trail.Decision) Result {
	r := Result{Guarantee: GuaranteeLeaving}
	notices := map[string]trail.Decision{}
	for _, d := range records {
		switch {
		case d.Area == trail.AreaMember && d.Action == actionLeaving:
			if _, ok := notices[d.Subject]; !ok {
				notices[d.Subject] = d
				r.Cases++
			}
		case d.Area == trail.AreaMember && d.Action == actionLive:
			// A process that lags behind can record a VM as live after another
			// has seen it leave. Only a higher revision of the VM list
			// withdraws the notice.
			if notice, ok := notices[d.Subject]; ok && d.Revision > notice.Revision {
				delete(notices, d.Subject)
			}
		case d.Area == trail.AreaRouting && d.Action == actionChoose:
			notice, ok := notices[d.Choice]
			if late := d.Time.Sub(notice.Time); ok && late > set.LeavingGrace {
				r.addViolation(d, "%s got request %s %v after it was seen to leave", d.Choice, d.Request, late)
			}
		}
	}
	return r
}

// checkVerifiedLoads checks that a process orders the load of a manifest only after
// it has verified that manifest's weights in the same run. Orders that the process
// withdrew before sending them are ignored.
func checkVerifiedLoads(records []trail.Decision) Result {
	type key struct {
		boot     boot
		manifest string
	}
	r := Result{Guarantee: GuaranteeVerifiedLoad}
	verified := map[key]bool{}
	for i, d := range records {
		k := key{bootOf(d), d.Subject}
		switch {
		case d.Action == actionVerified && d.Area == trail.AreaPlacement:
			verified[k] = true
		case d.Action == actionOrder && d.Area == trail.AreaPlacement:
			r.Cases++
			if !verified[k] && !orderWithdrawn(records[i+1:], d) {
				r.addViolation(d, "a load of %s was ordered before it was verified whole", d.Subject)
			}
		}
	}
	return r
}

func orderWithdrawn(later []trail.Decision, order trail.Decision) bool {
	for _, d := range later {
		if bootOf(d) == bootOf(order) && d.Area == trail.AreaPlacement {
			return d.Action == actionLoadFailed && d.Subject == order.Subject
		}
	}
	return false
}

// checkServedVersions checks that a target that changes its version after an order
// serves a version that was ordered. Records from before a side's first order are
// ignored: what the target served then was ordered in an earlier run of the side.
func checkServedVersions(records []trail.Decision) Result {
	r := Result{Guarantee: GuaranteeServedVersion}
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
			r.Cases++
			if !ordered[b][d.Subject] {
				r.addViolation(d, "the target serves %s, which was not ordered", d.Subject)
			}
		}
	}
	return r
}
