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

// Times of the origin's outage and of the second version, from the first version on.
const (
	outageStart  = 2500 * time.Millisecond
	outageEnd    = 8500 * time.Millisecond
	secondAt     = 2 * time.Second
	planInterval = 300 * time.Millisecond
	// ownRegionMargin and halfMargin are how long after the origin's link can have carried a
	// version the last side of its region and half of all sides may have it.
	ownRegionMargin = time.Second
	halfMargin      = 1500 * time.Millisecond
)

// plannedRun is the distribution of two versions, of which every side plans the order by what it
// knows.
type plannedRun struct {
	*network
	site     site
	started  time.Duration
	versions []WantedVersion
	plans    map[string]plan.Plan
	// completedAt is when each side held each complete version.
	completedAt   map[chunk.Digest]map[string]time.Duration
	fetches       int
	fetchedChunks map[chunk.Digest]bool
}

func newPlannedRun(t *testing.T, d site) *plannedRun {
	n := newNetwork(t, regionNames(d.sides...)...)
	links := d.links
	links.byBlocks, links.busyUntil = true, map[string]time.Duration{}
	n.sharedLinks = &links
	r := &plannedRun{network: n, site: d, started: n.now, plans: map[string]plan.Plan{}, completedAt: map[chunk.Digest]map[string]time.Duration{}, fetchedChunks: map[chunk.Digest]bool{}}
	for i, name := range n.names {
		s := n.sides[name]
		s.state = New(Config{
			Self: s.Member, OriginRegion: "r1", Seed: uint64(i), MinTimeout: 300 * time.Millisecond, MaxBackoff: 500 * time.Millisecond,
			OriginSlots: 6, UploadSlots: 3, DownloadSlots: 3, ImportSlots: FastLinkImportSlots, Fanout: FastLinkFanout,
		})
		n.after(planInterval*time.Duration(i)/time.Duration(len(n.names)), func() { r.replan(s) })
	}
	n.originDown = func() bool { return r.since() >= outageStart && r.since() < outageEnd }
	n.origin = func(_ string, d chunk.Digest, _ int) (bool, time.Duration) {
		if n.originDown() {
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

func (r *plannedRun) since() time.Duration { return r.now - r.started }

// announce adds a version, which is at once known to all sides.
func (r *plannedRun) announce() {
	v := testVersion(fmt.Sprint(len(r.versions)+2), len(r.versions)*r.site.chunks, r.site.chunks).withMembers(r.members())
	for i := range v.Manifest.Chunks {
		v.Manifest.Chunks[i].Size = r.site.size
	}
	v.Manifest.Size = r.site.size * int64(r.site.chunks)
	r.versions = append([]WantedVersion{v}, r.versions...)
	r.completedAt[v.ID] = map[string]time.Duration{}
	for _, name := range r.names {
		r.plan(r.sides[name])
	}
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
	if len(r.versions) == 0 || s.dead {
		return
	}
	begin := r.time().Add(-r.since())
	in := plan.Input{
		Now: r.time(), LinkRate: int64(float64(r.site.size) / r.site.links.origin.Seconds()),
		Newest: r.planned(s, 0), OriginUnavailable: s.state.OriginUnavailable(),
	}
	if len(r.versions) > 1 {
		older := r.planned(s, 1)
		in.Older, in.ServedUntil, in.OlderUntil = &older, begin.Add(r.site.bound), begin.Add(secondAt+r.site.bound)
	}
	p := plan.Next(in, r.plans[s.Name])
	if p.Same(r.plans[s.Name]) {
		return
	}
	r.plans[s.Name] = p
	var wanted []WantedVersion
	for i, v := range r.versions {
		v.Priority = PriorityFirst
		if r.number(i) != p.First() {
			v.Priority = PriorityNext
			if r.number(i) != p.Newest {
				v.Priority = PriorityPaused
			}
		}
		wanted = append(wanted, v)
	}
	r.carryOutAll(s, s.state.Update(r.time(), wanted))
}

func (r *plannedRun) number(i int) uint64 { return uint64(len(r.versions) + 1 - i) }

func (r *plannedRun) planned(s *fakeSide, i int) plan.Version {
	m := r.versions[i].Manifest
	out := plan.Version{Number: r.number(i), Size: m.Size, Missing: m.Size}
	if _, ok := s.state.Progress(r.versions[i].ID); ok {
		out.Missing = s.state.MissingInRegion(r.versions[i].ID)
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

// Guards against a link that is idle after the origin's return, is shared by two versions or
// carries chunks twice.
func TestOutageDelaysPreferredVersionLittle(t *testing.T) {
	for _, d := range sites {
		for _, second := range []bool{false, true} {
			t.Run(fmt.Sprint(d.name, second), func(t *testing.T) {
				r := newPlannedRun(t, d)
				r.announce()
				if second {
					r.after(secondAt, r.announce)
				}
				r.runUntil(func() bool { return r.since() > secondAt && r.allComplete(r.versions[0].ID)() })
				own, half, last := r.times(r.versions[0])
				earliest := r.earliest(second)
				t.Logf("earliest %v, origin's region complete after %v, half of the sides after %v, the last after %v, %d origin fetches", earliest, own, half, last, r.fetches)
				if most := earliest + ownRegionMargin; own > most {
					t.Errorf("origin's region complete after %v, want %v at most", own, most)
				}
				if most := earliest + halfMargin; half > most {
					t.Errorf("half of the sides complete after %v, want %v at most", half, most)
				}
				if most := len(r.fetchedChunks) * 21 / 20; r.fetches > most {
					t.Errorf("%d origin fetches of %d chunks, want %d at most", r.fetches, len(r.fetchedChunks), most)
				}
			})
		}
	}
}

// earliest is when the origin's link can have carried the preferred version: the first, or the
// second, after which the link carries nothing else unless the first lacks little by then.
func (r *plannedRun) earliest(second bool) time.Duration {
	end := time.Duration(r.site.chunks) * r.site.links.origin
	if second {
		end += max(secondAt, end)
		if r.site.links.origin*time.Duration(r.site.chunks) > outageStart {
			end = secondAt + time.Duration(r.site.chunks)*r.site.links.origin
		}
	}
	if end > outageStart {
		end += outageEnd - outageStart
	}
	return end
}
