package hosted

import (
	"cmp"
	"context"
	"slices"
	"time"

	"hawthornferry/core/process/epoch"
	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/place"
)

// stateInterval is how often a process logs its copy of the platform's state. Possibly
// only the last few seconds of its log are kept; with a state in any two seconds, what
// is left is enough to explain a request.
const stateInterval = 2 * time.Second

// logState logs a record of the process's state every stateInterval, until ctx ends.
func (p *process) logState(ctx context.Context) error {
	for {
		p.log.Record(p.stateDecision())
		select {
		case <-ctx.Done():
			return nil
		case <-p.clock.After(stateInterval):
		}
	}
}

func (p *process) stateDecision() trail.Decision {
	known := p.feed.Current()
	notices := p.notices()
	s := &trail.State{
		Targets: targetCounts(known), Serving: servedCounts(p.served()), AttemptEnds: p.ends(),
		RateLimited: notices.RateLimited, SaidLeaving: notices.Leaving, BackingOff: notices.BackingOff,
	}
	s.Faults, s.FaultCount = p.firstFaults()
	s.SettingsFault = p.currentSettingsFault()
	if known.Table != nil {
		s.Configuration = known.Table.Version
	}
	for _, v := range newestVersions(known) {
		s.NewestVersions = append(s.NewestVersions, trail.NewestVersion{Model: v.Model, Version: v.Version, AgeMS: p.clock.Since(v.Since).Milliseconds()})
	}
	d := trail.Decision{
		Area: trail.AreaConfig, Action: "state", Subject: "state", Boot: p.self.Boot, Revision: known.Revision, State: s,
	}
	if age, known := p.feed.Age(); known {
		d.AgeMS = age.Milliseconds()
	}
	return d
}

// maxListedFaults is how many faults of the platform's state are listed one by one.
const maxListedFaults = 5

// firstFaults returns the first faults of the platform's state, and how many there are.
func (p *process) firstFaults() (first []trail.ItemFault, total int) {
	all := p.feed.Faults()
	for i := range all {
		all[i].Revision = epoch.Count(all[i].Revision)
	}
	return all[:min(len(all), maxListedFaults)], len(all)
}

// targetCounts counts the listed targets of each service, including services without any.
func targetCounts(f *facts.Facts) []trail.TargetCount {
	counts := map[string]*trail.TargetCount{}
	if f.Table != nil {
		for _, s := range f.Table.Services {
			counts[s.Name] = &trail.TargetCount{Service: s.Name}
		}
	}
	for _, t := range f.Targets {
		c := counts[t.Service]
		if c == nil {
			c = &trail.TargetCount{Service: t.Service}
			counts[t.Service] = c
		}
		if t.Leaving {
			c.Leaving++
		} else {
			c.Ready++
		}
	}
	var out []trail.TargetCount
	for _, c := range counts {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b trail.TargetCount) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// newestVersions returns the newest announced version of each model.
func newestVersions(f *facts.Facts) []facts.ModelVersion {
	return slices.DeleteFunc(slices.Clone(f.Versions), func(v facts.ModelVersion) bool {
		newest, _ := f.Latest(v.Model)
		return newest.Version != v.Version
	})
}

// servedCounts counts the targets of each service by the version that they serve.
func servedCounts(served []place.TargetVersion) []trail.ServedCount {
	counts := map[trail.ServedCount]int{}
	for _, s := range served {
		counts[trail.ServedCount{Service: s.Service, Version: s.Version}]++
	}
	var out []trail.ServedCount
	for c, n := range counts {
		c.Targets = n
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b trail.ServedCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return out
}
