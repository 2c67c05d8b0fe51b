package envdoc

import (
	"cmp"
	"fmt"
	"slices"
)

// Change says what happens to a section.
type Change string

// The changes of a section.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeAltered Change = "altered"
)

// SectionChange is one section that differs between two documents.
type SectionChange struct {
	Section string `json:"section"`
	Change  Change `json:"change"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
}

// sectionChanges compares what the sections say, whatever their order and
// comments.
func sectionChanges(old, next *Document) []SectionChange {
	a, b := old.sections(), next.sections()
	var out []SectionChange
	for name, was := range a {
		now, ok := b[name]
		switch {
		case !ok:
			out = append(out, SectionChange{Section: name, Change: ChangeRemoved, From: was})
		case now != was:
			out = append(out, SectionChange{Section: name, Change: ChangeAltered, From: was, To: now})
		}
	}
	for name, now := range b {
		if _, ok := a[name]; !ok {
			out = append(out, SectionChange{Section: name, Change: ChangeAdded, To: now})
		}
	}
	slices.SortFunc(out, func(a, b SectionChange) int { return cmp.Compare(a.Section, b.Section) })
	return out
}

// sections gives each section's values as one line.
func (d *Document) sections() map[string]string {
	out := map[string]string{}
	if d.Name != "" {
		out[sectionEnvironment] = fmt.Sprintf("name %s, stage %s, weigh %s", d.Name, d.Stage, d.Weigh)
		out[sectionOrigin] = fmt.Sprintf("region %s, copies %d", d.Origin.Region, d.Origin.Copies)
	}
	for _, r := range d.Regions {
		out[sectionRegion+"."+r.Name] = fmt.Sprintf("link %d bytes/s", r.Link)
	}
	for _, z := range d.Zones {
		out[sectionZone+"."+z.Name] = "region " + z.Region
	}
	for _, m := range d.Models {
		out[sectionModel+"."+m.Name] = fmt.Sprintf("version %s, manifest %s", m.Version, m.Manifest)
	}
	for _, s := range d.Services {
		out[sectionService+"."+s.Name] = s.line()
	}
	for _, c := range d.Customers {
		out[sectionCustomer+"."+c.Name] = fmt.Sprintf("share %d", c.Share)
	}
	return out
}

func (s Service) line() string {
	line := fmt.Sprintf("kind %s, model %s, fencing %s, floor %d, timeout %v, repeatable %v, replicas",
		s.Kind, s.Model, s.Fencing, s.Floor, s.Timeout, s.Repeatable)
	for _, r := range s.Replicas {
		line += fmt.Sprintf(" %s=%d", r.Zone, r.Replicas)
	}
	return line
}
