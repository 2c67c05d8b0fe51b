package hosted

import (
	"strconv"
	"sync"
	"time"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/plan"
	"hawthornferry/core/version/spread"
	"hawthornferry/io/version/adapt"
)

// fetchPlanner keeps the plan in force. The zero value is ready to use.
type fetchPlanner struct {
	mu      sync.Mutex
	current plan.Plan
}

// next replaces the plan in force, and reports whether anything changed that matters.
func (p *fetchPlanner) next(in plan.Input) (plan.Plan, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.current
	p.current = plan.Next(in, previous)
	return p.current, !p.current.Same(previous)
}

// plansFetches reports whether the order of fetches is planned for versions of a size.
func (s *Side) plansFetches(f *facts.Facts, size int64) bool {
	return plan.Active(f.Origin.LinkRate, size, s.Settings.Bounds.OldVersionPeriod)
}

// wantedRules returns the rules that apply to the announced versions. A plan leaves out the
// version before the newest by itself if it cannot be of use.
func (s *Side) wantedRules(f *facts.Facts) wantedRules {
	rules := unplannedRules(s.Settings.Bounds.OldVersionPeriod)
	for _, v := range f.Versions {
		if e, ok := s.adapter.FindVersion(v.Model, v.Version); ok && s.plansFetches(f, e.Manifest.Size) {
			rules.OlderCutoff, rules.MinGap = plan.LoadTime, 0
		}
	}
	return rules
}

// planFetches returns the plan for the known versions, newest first; false if fetches are not
// planned.
func (s *Side) planFetches(f *facts.Facts, known []*adapt.KnownVersion) (plan.Plan, bool) {
	newest := known[0]
	if !s.plansFetches(f, newest.Manifest.Size) {
		return plan.Plan{}, false
	}
	missing := s.missingInRegion()
	in := plan.Input{
		Now: s.process.clock.Now(), LinkRate: f.Origin.LinkRate, OriginUnavailable: s.node.UpstreamsSilent(),
		Newest: plannedVersion(newest, missing),
	}
	if len(known) > 1 {
		older := plannedVersion(known[1], missing)
		in.Older = &older
		in.OlderUntil, in.ServedUntil = s.versionLimits(f, known[1])
	}
	p, changed := s.fetchPlan.next(in)
	if changed {
		s.process.log.Record(planDecision(newest.Model, in, p))
	}
	scope := s.process.metrics.SubScope("weights").Tagged(map[string]string{"model": newest.Model})
	scope.Gauge("preferred_version").Update(float64(p.First()))
	return p, true
}

// missingInRegion returns how many bytes the region lacks of each version whose chunks are
// already being distributed.
func (s *Side) missingInRegion() map[chunk.Digest]int64 {
	out := map[chunk.Digest]int64{}
	for _, p := range s.node.Progress() {
		if p.Total > 0 {
			out[p.Wanted.Manifest] = p.MissingInRegion
		}
	}
	return out
}

func plannedVersion(e *adapt.KnownVersion, missing map[chunk.Digest]int64) plan.Version {
	out := plan.Version{Number: e.Version, Size: e.Manifest.Size, Missing: e.Manifest.Size}
	if m, ok := missing[e.Digest]; ok {
		out.Missing = m
	}
	return out
}

// versionLimits returns until when requests may begin on an older version, and on the one that
// the engine serves. An engine that serves the older one already, or none, is taken for one that
// serves the version before it, as most do.
func (s *Side) versionLimits(f *facts.Facts, older *adapt.KnownVersion) (olderUntil, servedUntil time.Time) {
	bound := s.Settings.Bounds.OldVersionPeriod
	if since, replaced := f.ReplacedSince(older.Model, older.Version); replaced {
		olderUntil = since.Add(bound)
	}
	serving, known := s.loadPublisher.ServedVersion()
	if !known || serving == 0 || serving >= older.Version {
		serving = older.Version - 1
	}
	if since, replaced := f.ReplacedSince(older.Model, serving); replaced {
		servedUntil = since.Add(bound)
	}
	return olderUntil, servedUntil
}

func planDecision(model string, in plan.Input, p plan.Plan) trail.Decision {
	fetches := &trail.FetchPlan{LoadOlder: p.LoadOlder, WithoutServiceMS: p.WithoutService.Milliseconds()}
	add := func(v plan.Version, expected time.Duration) {
		fetches.Versions = append(fetches.Versions, trail.PlannedVersion{
			Version: v.Number, Priority: string(spread.PriorityOf(p, v.Number)), MissingBytes: v.Missing, ExpectedMS: expected.Milliseconds(),
		})
	}
	add(in.Newest, p.NewestIn)
	if in.Older != nil {
		add(*in.Older, p.OlderIn)
	}
	return trail.Decision{
		Area: trail.AreaTransfer, Action: "plan", Subject: model, Choice: strconv.FormatUint(p.First(), 10),
		Outcome: string(p.Order), Reason: string(p.Reason), Fetches: fetches,
	}
}
