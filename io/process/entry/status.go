package entry

import (
	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/request/calls"
	"hawthornferry/io/process/admin"
	"hawthornferry/io/request/front"
)

// addStatus adds targets, outcomes and rollouts to a status.
func (e *Entry) addStatus(st *admin.Status) {
	targets := e.front.Targets()
	st.Targets = targetRows(targets)
	st.Outcomes = outcomeRows(e.front.Outcomes())
	if d := e.Process.Watcher.Current().Document; d != nil {
		st.Rollouts = rollouts(d, targets)
	}
}

func targetRows(targets []front.TargetStatus) []admin.Target {
	var out []admin.Target
	for _, t := range targets {
		out = append(out, admin.Target{
			Name:     t.VM.Name,
			Service:  t.VM.Service,
			Zone:     t.VM.Zone,
			State:    string(t.Availability),
			Serving:  t.Serving,
			InFlight: t.InFlight,
		})
	}
	return out
}

type outcomeKey struct {
	customer string
	service  string
}

// outcomeRows converts the counts, one for each outcome, into one row for each customer and
// service.
func outcomeRows(counts []front.OutcomeCount) []admin.Outcome {
	index := map[outcomeKey]int{}
	var out []admin.Outcome
	for _, c := range counts {
		k := outcomeKey{c.Customer, c.Service}
		i, ok := index[k]
		if !ok {
			i = len(out)
			index[k] = i
			out = append(out, admin.Outcome{Customer: c.Customer, Service: c.Service})
		}
		out[i].Repeated += uint64(c.Repeated)
		out[i].Refused += uint64(c.Refused)
		switch c.Outcome {
		case calls.OutcomeDone:
			out[i].Done += uint64(c.Count)
		case calls.OutcomeNotRun:
			out[i].NotRun += uint64(c.Count)
		case calls.OutcomeUnknown:
			out[i].Unknown += uint64(c.Count)
		}
	}
	return out
}

// rollouts counts the targets that serve the version named in the document, among those that
// this entry has sessions with.
func rollouts(d *envdoc.Document, targets []front.TargetStatus) []admin.Rollout {
	var out []admin.Rollout
	for _, s := range d.Services {
		m, ok := d.ModelByName(s.Model)
		if !ok || s.Kind != envdoc.KindEngine {
			continue
		}
		r := admin.Rollout{Service: s.Name, Model: m.Name, Version: m.Version, Manifest: m.Manifest}
		for _, p := range s.Replicas {
			z := admin.Progress{Zone: p.Zone, Wanted: p.Replicas}
			for _, t := range targets {
				if t.VM.Service == s.Name && t.VM.Zone == p.Zone && t.Serving == m.Manifest {
					z.Serving++
				}
			}
			r.Zones = append(r.Zones, z)
		}
		out = append(out, r)
	}
	return out
}
