package place

import (
	"net/netip"
	"slices"
	"time"

	"hawthornferry/core/process/trail"
)

// exclusion is the reason why a target may not get a request now.
type exclusion string

// The exclusions, in the order in which they are checked.
const (
	notExcluded         exclusion = ""
	excludedRegion      exclusion = "otherRegion"
	excludedEvacuated   exclusion = "evacuated"
	excludedLeaving     exclusion = "leaving"
	excludedBackoff     exclusion = "backoff"
	excludedPaused      exclusion = "paused"
	excludedFailed      exclusion = "tried"
	excludedNotInTrial  exclusion = "notInTrial"
	excludedSilent      exclusion = "silent"
	excludedLoading     exclusion = "loading"
	excludedReportsLost exclusion = "unheard"
	excludedOldVersion  exclusion = "oldVersion"
)

// exclusionOf returns why a target may not get the request, regardless of its load.
func exclusionOf(now time.Time, s *service, t *target, w *Request) exclusion {
	switch {
	case !w.Regions.Allows(t.region):
		return excludedRegion
	case t.Evacuated:
		return excludedEvacuated
	case t.isLeaving():
		return excludedLeaving
	case t.notice.backingOff(now):
		return excludedBackoff
	case w.excludes(t):
		return excludedNotInTrial
	case now.Before(t.pausedUntil) && !w.isTrial():
		return excludedPaused
	case slices.Contains(w.FailedTargets, t.ID):
		return excludedFailed
	case s.engine == nil:
		return notExcluded
	case t.reportFresh(now) && !t.alive:
		return excludedSilent
	case t.reportFresh(now) && t.loading:
		return excludedLoading
	}
	v := t.servedVersion(now, s.engine.Model)
	if t.reportsLost(now) && v < w.NewestVersion {
		// The request may arrive when the old version may no longer begin it, long
		// after its caller and this entry have given it up.
		return excludedReportsLost
	}
	if v == 0 || !w.mayBegin(v, now) {
		return excludedOldVersion
	}
	return notExcluded
}

// isTrial reports whether the request is only for targets that it names.
func (w *Request) isTrial() bool { return len(w.OnlyTargets) > 0 }

// excludes reports whether the request is only for other targets.
func (w *Request) excludes(t *target) bool {
	return w.isTrial() && !slices.Contains(w.OnlyTargets, t.ID)
}

// candidates counts the targets of the service by what kept each from getting a refused
// request. Without the counts, the log says only that a service was full, and not
// whether its targets were busy, had failed or were about to leave.
func (p *Placer) candidates(now time.Time, s *service, w *Request) trail.CandidateCounts {
	searchedTargets := s.searchedTargets(now, w)
	c := trail.CandidateCounts{Targets: len(searchedTargets), Waiting: len(s.waiting)}
	for _, t := range searchedTargets {
		switch exclusionOf(now, s, t, w) {
		case notExcluded:
			load := t.load(now)
			c.Usable++
			c.Requests += load
			c.FreePlaces += max(0, s.maxRequests(t)-load)
			if p.lacksPermit(now, s, t) {
				c.NoPermit++
			}
		case excludedRegion:
			c.OtherRegion++
		case excludedEvacuated:
			c.Evacuated++
		case excludedLeaving:
			c.Leaving++
		case excludedBackoff:
			c.BackingOff++
		case excludedPaused:
			c.Paused++
		case excludedFailed:
			c.FailedThisRequest++
		case excludedNotInTrial:
			c.NotInTrial++
		case excludedSilent:
			c.Silent++
		case excludedLoading:
			c.Loading++
		case excludedReportsLost:
			c.NotReporting++
		case excludedOldVersion:
			c.OldVersion++
		}
	}
	return c
}

// maxRequests is how many requests a target may have.
func (s *service) maxRequests(t *target) int {
	if s.engine == nil {
		return slotsOf(t.Target) + queueAllowance
	}
	return slotsOf(t.Target)
}

// TargetVersion is the model version that a target serves, 0 for none.
type TargetVersion struct {
	Service string
	Address netip.AddrPort
	Version uint64
}

// TargetVersions returns the versions that the targets of engine services serve.
func (p *Placer) TargetVersions(now time.Time) []TargetVersion {
	var out []TargetVersion
	for _, s := range p.services {
		if s.engine == nil {
			continue
		}
		for _, t := range s.all {
			out = append(out, TargetVersion{Service: s.name, Address: t.Address, Version: t.servedVersion(now, s.engine.Model)})
		}
	}
	return out
}
