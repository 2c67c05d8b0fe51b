package spread

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/plan"
)

// site is a deployment: a version's chunks, their size in bytes, how long a chunk takes on
// each link, and how long requests may begin on an older version.
type site struct {
	name   string
	chunks int
	size   int64
	links  sharedLinks
	bound  time.Duration
	sides  []int
}

// The links carry 4.38, 23 and 7.3 Mbit/s, and 9, 32 and 9.4 Mbit/s.
var sites = []site{
	{"slow origin", 96, 24576, sharedLinks{origin: 44886 * time.Microsecond, region: 8548 * time.Microsecond, side: 26932 * time.Microsecond}, 13400 * time.Millisecond, []int{12, 11, 11}},
	{"slow origin, more sides", 96, 24576, sharedLinks{origin: 44886 * time.Microsecond, region: 8548 * time.Microsecond, side: 26932 * time.Microsecond}, 13400 * time.Millisecond, []int{20, 19, 19}},
	{"fast origin", 48, 49152, sharedLinks{origin: 43690 * time.Microsecond, region: 12288 * time.Microsecond, side: 41829 * time.Microsecond}, 9700 * time.Millisecond, []int{18, 17, 17}},
	{"fast origin, more sides", 48, 49152, sharedLinks{origin: 43690 * time.Microsecond, region: 12288 * time.Microsecond, side: 41829 * time.Microsecond}, 9700 * time.Millisecond, []int{30, 29, 29}},
}

// secondAt is when the second version is announced, and planInterval how often sides plan.
const (
	secondAt     = 2 * time.Second
	planInterval = 300 * time.Millisecond
)

// outage is a time in which the origin refuses connections.
type outage struct{ start, end time.Duration }

// plannedRun is the distribution of two versions, of which every side plans the order by what it
// knows.
type plannedRun struct {
	*network
	site    site
	started time.Duration
	outages []outage
	// isolated is a region without the origin.
	isolated string
	versions []WantedVersion
	plans    map[string]plan.Plan
	// known is how many versions each side has heard of.
	known map[string]int
	// completedAt is when each side held each complete version.
	completedAt   map[chunk.Digest]map[string]time.Duration
	fetches       int
	fetchedChunks map[chunk.Digest]bool
}

func newPlannedRun(t *testing.T, d site, outages []outage) *plannedRun {
	n := newNetwork(t, regionNames(d.sides...)...)
	links := d.links
	links.byBlocks, links.busyUntil = true, map[string]time.Duration{}
	n.sharedLinks = &links
	r := &plannedRun{network: n, site: d, started: n.now, outages: outages, known: map[string]int{}, plans: map[string]plan.Plan{}, completedAt: map[chunk.Digest]map[string]time.Duration{}, fetchedChunks: map[chunk.Digest]bool{}}
	for i, name := range n.names {
		s := n.sides[name]
		s.state = New(Config{
			Self: s.Member, OriginRegion: "r1", Seed: uint64(i), MinTimeout: 300 * time.Millisecond, MaxBackoff: 500 * time.Millisecond,
			OriginSlots: 6, UploadSlots: 3, DownloadSlots: 3, ImportSlots: FastLinkImportSlots, Fanout: FastLinkFanout,
		})
		n.after(planInterval*time.Duration(i)/time.Duration(len(n.names)), func() { r.replan(s) })
	}
	n.originDown = r.originDown
	n.origin = func(side string, d chunk.Digest, _ int) (bool, time.Duration) {
		if r.originDown(side) {
			return false, 0
		}
		r.fetches++
		r.fetchedChunks[d] = true
		return true, 0
	}
	n.onArrival = func(s *fakeSide, _ chunk.Digest) {
		for _, v := range r.versions {
			if p, ok := s.state.Progress(v.ID); ok && p.Held == p.Total && r.completedAt[v.ID][s.Name] == 0 {
				r.completedAt[v.ID][s.Name] = r.since()
			}
		}
	}
	return r
}

func (r *plannedRun) originDown(side string) bool {
	return r.sides[side].Region == r.isolated || slices.ContainsFunc(r.outages, func(o outage) bool {
		return r.since() >= o.start && r.since() < o.end
	})
}

func (r *plannedRun) since() time.Duration { return r.now - r.started }

// announce adds a version, which is at once known to all sides.
func (r *plannedRun) announce() { r.announceTo("r1", "r2", "r3") }

// announceTo tells the sides of some regions of one more version.
func (r *plannedRun) announceTo(regions ...string) {
	for _, name := range r.names {
		s := r.sides[name]
		if !slices.Contains(regions, s.Region) {
			continue
		}
		r.known[name]++
		if r.known[name] > len(r.versions) {
			r.addVersion()
		}
		r.plan(s)
	}
}

// addVersion adds a version before the older ones.
func (r *plannedRun) addVersion() {
	v := testVersion(fmt.Sprint(len(r.versions)+2), len(r.versions)*r.site.chunks, r.site.chunks).withMembers(r.members())
	for i := range v.Manifest.Chunks {
		v.Manifest.Chunks[i].Size = r.site.size
	}
	v.Manifest.Size = r.site.size * int64(r.site.chunks)
	r.versions = append([]WantedVersion{v}, r.versions...)
	r.completedAt[v.ID] = map[string]time.Duration{}
}

func (r *plannedRun) replan(s *fakeSide) {
	if s.dead {
		return
	}
	r.plan(s)
	r.after(planInterval, func() { r.replan(s) })
}

// plan has a side plan anew, and carries out the plan if it has changed.
func (r *plannedRun) plan(s *fakeSide) {
	versions := r.versions[len(r.versions)-r.known[s.Name]:]
	if len(versions) == 0 || s.dead {
		return
	}
	begin := r.time().Add(-r.since())
	in := plan.Input{
		Now: r.time(), LinkRate: int64(float64(r.site.size) / r.site.links.origin.Seconds()),
		Newest: planned(s, versions, 0), OriginUnavailable: s.state.UpstreamsSilent(r.time()),
	}
	if len(versions) > 1 {
		older := planned(s, versions, 1)
		in.Older, in.ServedUntil, in.OlderUntil = &older, begin.Add(r.site.bound), begin.Add(secondAt+r.site.bound)
	}
	p := plan.Next(in, r.plans[s.Name])
	if p.Same(r.plans[s.Name]) {
		return
	}
	r.plans[s.Name] = p
	var wanted []WantedVersion
	for i, v := range versions {
		v.Priority = PriorityOf(p, planned(s, versions, i).Number)
		wanted = append(wanted, v)
	}
	r.carryOutAll(s, s.state.Update(r.time(), wanted))
}

// planned is what a side knows of one of the versions, newest first.
func planned(s *fakeSide, versions []WantedVersion, i int) plan.Version {
	m := versions[i].Manifest
	out := plan.Version{Number: uint64(len(versions) + 1 - i), Size: m.Size, Missing: m.Size}
	if _, ok := s.state.Progress(versions[i].ID); ok {
		out.Missing = s.state.MissingInRegion(versions[i].ID)
	}
	return out
}

// times returns when the last side of the origin's region, half of the sides and the last
// one held a version.
func (r *plannedRun) times(v WantedVersion) (own, half, last time.Duration) {
	all := slices.Sorted(maps.Values(r.completedAt[v.ID]))
	for name, at := range r.completedAt[v.ID] {
		if r.sides[name].Region == "r1" {
			own = max(own, at)
		}
	}
	return own, all[len(all)/2], all[len(all)-1]
}

// earliest is when the origin's link can have carried a version that has it for itself from the
// given time on.
func (r *plannedRun) earliest(from time.Duration) time.Duration {
	end := from + time.Duration(r.site.chunks)*r.site.links.origin
	for _, o := range r.outages {
		if end > o.start && from < o.end {
			end += o.end - o.start
		}
	}
	return end
}

// firstDone is when the first version has left the link, if it is nearly complete at the given
// time and so is not dropped, and zero otherwise.
func (r *plannedRun) firstDone(at time.Duration) time.Duration {
	whole := time.Duration(r.site.chunks) * r.site.links.origin
	if whole-at > whole/8 {
		return 0
	}
	return whole
}

// isolate cuts a region off from the others and the origin for a time.
func (r *plannedRun) isolate(region string, from, until time.Duration) {
	crosses := func(a, b string) bool {
		return (r.sides[a].Region == region) != (r.sides[b].Region == region)
	}
	r.after(from, func() {
		r.linkDown = crosses
		r.isolated = region
		for _, a := range r.names {
			for _, b := range r.names {
				if crosses(a, b) {
					r.disconnect(a, b)
				}
			}
		}
	})
	r.after(until, func() { r.linkDown, r.isolated = func(string, string) bool { return false }, "" })
}

// Guards against a link that is idle after the origin's return, is shared by two versions or
// carries chunks twice. The margins count from when the link can have carried the version that
// is announced last.
func TestPlannedVersionArrivesInTime(t *testing.T) {
	both := func(r *plannedRun) {
		r.announce()
		r.after(secondAt, r.announce)
	}
	long := []outage{{2500 * time.Millisecond, 8500 * time.Millisecond}}
	again := append(long, outage{9500 * time.Millisecond, 11 * time.Second})
	tests := []struct {
		name    string
		outages []outage
		setup   func(*plannedRun)
		// from is when the link begins to carry the version, own and half the margins of the
		// origin's region and of half of the sides.
		from, own, half time.Duration
		// smallOnly leaves out all but the first deployment.
		smallOnly bool
	}{
		{"one version", long, (*plannedRun).announce, 0, 800 * time.Millisecond, 1500 * time.Millisecond, false},
		{"two versions", long, both, secondAt, time.Second, 1500 * time.Millisecond, false},
		{"the origin fails again", again, both, secondAt, 1200 * time.Millisecond, 1500 * time.Millisecond, true},
		{"requests hang during the outage", long, func(r *plannedRun) {
			both(r)
			r.originHangs = true
		}, secondAt, 1200 * time.Millisecond, 1500 * time.Millisecond, true},
		{"all start with nothing and learn of both at once", nil, func(r *plannedRun) {
			r.announce()
			r.announce()
		}, 0, time.Second, 1500 * time.Millisecond, true},
		{"a region is cut off at the origin's return", long, func(r *plannedRun) {
			both(r)
			r.isolate("r3", 8*time.Second, 9500*time.Millisecond)
		}, secondAt, time.Second, 1500 * time.Millisecond, true},
		{"sides of the origin's region die after its return", long, func(r *plannedRun) {
			both(r)
			r.after(9*time.Second, func() { r.kill("side03"); r.kill("side07") })
		}, secondAt, 1200 * time.Millisecond, 1500 * time.Millisecond, true},
		{"a region learns late of the second version", long, func(r *plannedRun) {
			r.announce()
			r.after(secondAt, func() { r.announceTo("r1", "r2") })
			r.after(secondAt+time.Second, func() { r.announceTo("r3") })
		}, secondAt, time.Second, 1500 * time.Millisecond, true},
	}
	for i, d := range sites {
		for _, tc := range tests {
			if i > 0 && tc.smallOnly {
				continue
			}
			t.Run(d.name+"/"+tc.name, func(t *testing.T) {
				r := newPlannedRun(t, d, tc.outages)
				tc.setup(r)
				r.runUntil(func() bool { return r.since() > secondAt && r.allComplete(r.versions[0].ID)() })
				r.check(r.earliest(max(tc.from, r.firstDone(tc.from))), tc.own, tc.half)
			})
		}
	}
}

// Guards against an older version that nobody fetches, while the origin cannot send any chunk of
// the newest one, also at sides that start with nothing and learn of both at once.
func TestUnavailableNewestVersionDoesNotHoldUpOlder(t *testing.T) {
	for _, second := range []time.Duration{secondAt, 0} {
		t.Run(second.String()+" between", func(t *testing.T) { fetchOlderOfTwo(t, second) })
	}
}

func fetchOlderOfTwo(t *testing.T, second time.Duration) {
	r := newPlannedRun(t, sites[0], nil)
	answer := r.origin
	r.origin = func(side string, d chunk.Digest, k int) (bool, time.Duration) {
		if len(r.versions) > 1 && slices.ContainsFunc(r.versions[0].Manifest.Chunks, func(c chunk.Ref) bool { return c.Digest == d }) {
			return false, 0
		}
		return answer(side, d, k)
	}
	r.announce()
	r.after(second, r.announce)
	r.runUntil(func() bool { return r.since() > second && r.allComplete(r.versions[1].ID)() })
	if most := r.site.bound - plan.SpreadTime - plan.LoadTime; r.since() > most {
		t.Errorf("the older version is complete after %v, want %v at most", r.since(), most)
	}
	t.Logf("the older version is complete after %v", r.since())
}

func (r *plannedRun) check(earliest, ownMargin, halfMargin time.Duration) {
	own, half, last := r.times(r.versions[0])
	fetched := len(r.fetchedChunks)
	r.t.Logf("earliest %v, origin's region complete %v after it, half of the sides %v, the last %v, %d origin fetches of %d chunks", earliest, own-earliest, half-earliest, last-earliest, r.fetches, fetched)
	if most := earliest + ownMargin; own > most {
		r.t.Errorf("origin's region complete after %v, want %v at most", own, most)
	}
	if most := earliest + halfMargin; half > most {
		r.t.Errorf("half of the sides complete after %v, want %v at most", half, most)
	}
	if most := fetched * 11 / 10; r.fetches > most {
		r.t.Errorf("%d origin fetches of %d chunks, want %d at most", r.fetches, fetched, most)
	}
}
