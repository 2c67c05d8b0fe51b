package envdoc

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/inidoc"
	"hawthornferry/core/version/chunk"
)

// Limits and defaults of the values in a document. The link rates are in bytes per
// second.
const (
	maxReplicas    = 2000
	maxCopies      = 64
	maxShare       = 1000
	minLinkRate    = 8 << 10
	maxLinkRate    = 50 << 30
	minTimeout     = 10 * time.Millisecond
	maxTimeout     = 10 * time.Minute
	maxPatterns    = 64
	defaultCopies  = 4
	defaultShare   = 1
	defaultTimeout = 30 * time.Second
)

// Kinds of sections. All but the first two are followed by a dot and a name in the
// section's header, such as [zone.NAME].
const (
	sectionEnvironment = "environment"
	sectionOrigin      = "origin"
	sectionRegion      = "region"
	sectionZone        = "zone"
	sectionModel       = "model"
	sectionService     = "service"
	sectionCustomer    = "customer"
)

const replicasPrefix = "replicas."

// Parse parses the INI text of a document and checks it. name is the text's name
// in errors. The error is an inidoc.Problems that lists every fault.
func Parse(name string, revision uint64, text []byte) (*Document, error) {
	return parseFile(inidoc.Parse(name, text), revision)
}

// FromSections is Parse for a document whose sections were received separately.
func FromSections(name string, revision uint64, contents []inidoc.RawSection) (*Document, error) {
	return parseFile(inidoc.FromSections(name, contents), revision)
}

func parseFile(f *inidoc.File, revision uint64) (*Document, error) {
	p := &parser{file: f, doc: &Document{Revision: revision}}
	p.parseEnvironment()
	for _, s := range p.file.Sections {
		p.parseSection(s)
	}
	p.doc.sort()
	p.checkReferences()
	for _, s := range p.file.Sections {
		s.RejectUnknownKeys()
	}
	if err := p.file.Problems.Err(); err != nil {
		return nil, err
	}
	return p.doc, nil
}

type parser struct {
	file *inidoc.File
	doc  *Document
}

func (p *parser) parseEnvironment() {
	s := p.file.Section(sectionEnvironment)
	if s == nil {
		p.file.Reject("section [environment] is missing")
		return
	}
	p.doc.Name = inidoc.Required(s, "name", inidoc.Identifier)
	p.doc.Stage = inidoc.Required(s, "stage", inidoc.OneOf(StageTrial, StageProduction))
	// The key of Document.Goal is "weigh".
	p.doc.Goal = inidoc.Optional(s, "weigh", GoalOriginBytes, inidoc.OneOf(GoalOriginBytes, GoalTime))
	p.doc.Origin.MaxCopies = defaultCopies
}

func (p *parser) parseSection(s *inidoc.Section) {
	if s.Name == sectionEnvironment {
		return
	}
	if s.Name == sectionOrigin {
		p.parseOrigin(s)
		return
	}
	kind, name, _ := strings.Cut(s.Name, ".")
	parse, ok := p.sectionParsers()[kind]
	if !ok {
		s.Reject("", "", "unknown section")
		p.takeAllKeys(s)
		return
	}
	if _, err := inidoc.Identifier(name); err != nil {
		s.Reject("", "", "the name after "+kind+". is invalid: "+err.Error())
	}
	parse(s, name)
}

func (p *parser) sectionParsers() map[string]func(*inidoc.Section, string) {
	return map[string]func(*inidoc.Section, string){
		sectionRegion:   p.parseRegion,
		sectionZone:     p.parseZone,
		sectionModel:    p.parseModel,
		sectionService:  p.parseService,
		sectionCustomer: p.parseCustomer,
	}
}

// takeAllKeys marks all keys of an unknown section as known, so that they are not
// reported in addition to the section.
func (p *parser) takeAllKeys(s *inidoc.Section) {
	for _, key := range s.KeySuffixes("") {
		s.Take(key)
	}
}

func (p *parser) parseOrigin(s *inidoc.Section) {
	p.doc.Origin.Region = inidoc.Optional(s, "region", "", inidoc.Identifier)
	p.doc.Origin.MaxCopies = inidoc.Optional(s, "copies", defaultCopies, inidoc.IntBetween(1, maxCopies))
}

func (p *parser) parseRegion(s *inidoc.Section, name string) {
	link := inidoc.Required(s, "link", inidoc.Bounded(inidoc.Rate, minLinkRate, maxLinkRate))
	p.doc.Regions = append(p.doc.Regions, Region{Name: name, LinkRate: link})
}

func (p *parser) parseZone(s *inidoc.Section, name string) {
	region := inidoc.Required(s, "region", inidoc.Identifier)
	p.doc.Zones = append(p.doc.Zones, Zone{Name: name, Region: region})
}

func (p *parser) parseModel(s *inidoc.Section, name string) {
	m := Model{Name: name}
	m.Version = inidoc.Required(s, "version", inidoc.Identifier)
	if _, ok := s.Take("manifest"); !ok {
		s.Reject("manifest", "", "missing: version "+m.Version+" is not pinned by a digest")
	}
	m.Manifest = inidoc.Optional(s, "manifest", "", parseDigest)
	p.doc.Models = append(p.doc.Models, m)
}

func (p *parser) parseService(s *inidoc.Section, name string) {
	v := Service{Name: name}
	v.Kind = inidoc.Required(s, "kind", inidoc.OneOf(KindEngine, KindPlain))
	v.Model = inidoc.Optional(s, "model", "", inidoc.Identifier)
	v.Fencing = inidoc.Optional(s, "fencing", FencingIgnored, inidoc.OneOf(FencingChecked, FencingIgnored))
	v.Floor = inidoc.Optional(s, "floor", 0, inidoc.IntBetween(0, maxReplicas))
	v.Timeout = inidoc.Optional(s, "timeout", defaultTimeout, inidoc.DurationBetween(minTimeout, maxTimeout))
	v.Repeatable = inidoc.Optional(s, "repeatable", nil, parsePatterns)
	for _, zone := range s.KeySuffixes(replicasPrefix) {
		n := inidoc.Optional(s, replicasPrefix+zone, 0, inidoc.IntBetween(0, maxReplicas))
		v.Replicas = append(v.Replicas, Placement{Zone: zone, Replicas: n})
	}
	p.doc.Services = append(p.doc.Services, v)
}

func (p *parser) parseCustomer(s *inidoc.Section, name string) {
	share := inidoc.Optional(s, "share", defaultShare, inidoc.IntBetween(1, maxShare))
	p.doc.Customers = append(p.doc.Customers, Customer{Name: name, Share: share})
}

func parseDigest(text string) (chunk.Digest, error) {
	d := chunk.Digest(text)
	if err := d.Check(); err != nil {
		return "", errors.New("want sha256: and 64 hexadecimal digits")
	}
	return d, nil
}

// parsePatterns parses a comma-separated list of "METHOD /path" items.
func parsePatterns(text string) ([]string, error) {
	items := inidoc.SplitList(text)
	if len(items) > maxPatterns {
		return nil, errors.Newf("want at most %d patterns", maxPatterns)
	}
	for _, it := range items {
		method, path, ok := strings.Cut(it, " ")
		if !ok || method == "" || method != strings.ToUpper(method) || !strings.HasPrefix(path, "/") {
			return nil, errors.Newf("%q is not of the form METHOD /path", it)
		}
	}
	return items, nil
}

func (d *Document) sort() {
	slices.SortFunc(d.Regions, func(a, b Region) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Customers, func(a, b Customer) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range d.Services {
		slices.SortFunc(s.Replicas, func(a, b Placement) int { return cmp.Compare(a.Zone, b.Zone) })
	}
}
