package envdoc

import (
	"cmp"
	"fmt"
	"slices"
)

// Change is the kind of difference in a section.
type Change string

// The kinds of difference.
const (
	ChangeAdded    Change = "added"
	ChangeRemoved  Change = "removed"
	ChangeModified Change = "altered"
)

// SectionChange is a section that differs between two documents. From and To are
// one-line summaries of the section in the old and in the new document.
type SectionChange struct {
	Section string `json:"section"`
	Change  Change `json:"change"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
}

// sectionChanges returns the sections whose values differ. The order of the
// sections and comments make no difference.
func sectionChanges(old, next *Document) []SectionChange {
	a, b := old.sectionSummaries(), next.sectionSummaries()
	var out []SectionChange
	for name, before := range a {
		after, ok := b[name]
		switch {
		case !ok:
			out = append(out, SectionChange{Section: name, Change: ChangeRemoved, From: before})
		case after != before:
			out = append(out, SectionChange{Section: name, Change: ChangeModified, From: before, To: after})
		}
	}
	for name, after := range b {
		if _, ok := a[name]; !ok {
			out = append(out, SectionChange{Section: name, Change: ChangeAdded, To: after})
		}
	}
	slices.SortFunc(out, func(a, b SectionChange) int { return cmp.Compare(a.Section, b.Section) })
	return out
}

// sectionSummaries returns the values of each section as one line, by section name.
func (d *Document) sectionSummaries() map[string]string {
	out := map[string]string{}
	if d.Name != "" {
		out[sectionEnvironment] = fmt.Sprintf("name %s, stage %s, weigh %s", d.Name, d.Stage, d.Goal)
		out[sectionOrigin] = fmt.Sprintf("region %s, copies %d", d.Origin.Region, d.Origin.MaxCopies)
	}
	for _, r := range d.Regions {
		out[sectionRegion+"."+r.Name] = fmt.Sprintf("link %d bytes/s", r.LinkRate)
	}
	for _, z := range d.Zones {
		out[sectionZone+"."+z.Name] = "region " + z.Region
	}
	for _, m := range d.Models {
		out[sectionModel+"."+m.Name] = fmt.Sprintf("version %s, manifest %s", m.Version, m.Manifest)
	}
	for _, s := range d.Services {
		out[sectionService+"."+s.Name] = s.summary()
	}
	for _, c := range d.Customers {
		out[sectionCustomer+"."+c.Name] = fmt.Sprintf("share %d", c.Share)
	}
	return out
}

func (s Service) summary() string {
	summary := fmt.Sprintf("kind %s, model %s, fencing %s, floor %d, timeout %v, repeatable %v, replicas",
		s.Kind, s.Model, s.Fencing, s.Floor, s.Timeout, s.Repeatable)
	for _, r := range s.Replicas {
		summary += fmt.Sprintf(" %s=%d", r.Zone, r.Replicas)
	}
	return summary
}
