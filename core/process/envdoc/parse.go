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

// Bounds and defaults of a document's values.
const (
	maxReplicas    = 2000
	maxCopies      = 64
	maxShare       = 1000
	minLink        = 8 << 10
	maxLink        = 50 << 30
	minTimeout     = 10 * time.Millisecond
	maxTimeout     = 10 * time.Minute
	maxPatterns    = 64
	defaultCopies  = 4
	defaultShare   = 1
	defaultTimeout = 30 * time.Second
)

// Sections of a document; all but the first two have a name after a dot.
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

// Parse reads the INI text of a document and checks it. name stands for the
// text in errors. An error is inidoc.Flaws and lists every fault.
func Parse(name string, revision uint64, text []byte) (*Document, error) {
	return fromFile(inidoc.Parse(name, text), revision)
}

// Assemble is Parse for sections that came one by one.
func Assemble(name string, revision uint64, contents []inidoc.Content) (*Document, error) {
	return fromFile(inidoc.Assemble(name, contents), revision)
}

func fromFile(f *inidoc.File, revision uint64) (*Document, error) {
	p := &parser{file: f, doc: &Document{Revision: revision}}
	p.environment()
	for _, s := range p.file.Sections {
		p.section(s)
	}
	p.doc.sort()
	p.references()
	for _, s := range p.file.Sections {
		s.Close()
	}
	if err := p.file.Flaws.Err(); err != nil {
		return nil, err
	}
	return p.doc, nil
}

type parser struct {
	file *inidoc.File
	doc  *Document
}

func (p *parser) environment() {
	s := p.file.Section(sectionEnvironment)
	if s == nil {
		p.file.Reject("section [environment] is missing")
		return
	}
	p.doc.Name = inidoc.Required(s, "name", inidoc.Word)
	p.doc.Stage = inidoc.Required(s, "stage", inidoc.OneOf(StageTrial, StageProduction))
	p.doc.Weigh = inidoc.Optional(s, "weigh", WeighOrigin, inidoc.OneOf(WeighOrigin, WeighTime))
	p.doc.Origin.Copies = defaultCopies
}

func (p *parser) section(s *inidoc.Section) {
	if s.Name == sectionEnvironment {
		return
	}
	if s.Name == sectionOrigin {
		p.origin(s)
		return
	}
	kind, name, _ := strings.Cut(s.Name, ".")
	read, ok := p.readers()[kind]
	if !ok {
		s.Reject("", "", "unknown section")
		p.ignore(s)
		return
	}
	if _, err := inidoc.Word(name); err != nil {
		s.Reject("", "", "the name after "+kind+". is not sound: "+err.Error())
	}
	read(s, name)
}

func (p *parser) readers() map[string]func(*inidoc.Section, string) {
	return map[string]func(*inidoc.Section, string){
		sectionRegion:   p.region,
		sectionZone:     p.zone,
		sectionModel:    p.model,
		sectionService:  p.service,
		sectionCustomer: p.customer,
	}
}

// ignore marks all keys of an unknown section as known: one flaw tells it all.
func (p *parser) ignore(s *inidoc.Section) {
	for _, key := range s.Prefixed("") {
		s.Take(key)
	}
}

func (p *parser) origin(s *inidoc.Section) {
	p.doc.Origin.Region = inidoc.Optional(s, "region", "", inidoc.Word)
	p.doc.Origin.Copies = inidoc.Optional(s, "copies", defaultCopies, inidoc.Whole(1, maxCopies))
}

func (p *parser) region(s *inidoc.Section, name string) {
	link := inidoc.Required(s, "link", inidoc.Bounded(inidoc.Rate, minLink, maxLink))
	p.doc.Regions = append(p.doc.Regions, Region{Name: name, Link: link})
}

func (p *parser) zone(s *inidoc.Section, name string) {
	region := inidoc.Required(s, "region", inidoc.Word)
	p.doc.Zones = append(p.doc.Zones, Zone{Name: name, Region: region})
}

func (p *parser) model(s *inidoc.Section, name string) {
	m := Model{Name: name}
	m.Version = inidoc.Required(s, "version", inidoc.Word)
	if _, ok := s.Take("manifest"); !ok {
		s.Reject("manifest", "", "missing: version "+m.Version+" is not pinned by a digest")
	}
	m.Manifest = inidoc.Optional(s, "manifest", "", digest)
	p.doc.Models = append(p.doc.Models, m)
}

func (p *parser) service(s *inidoc.Section, name string) {
	v := Service{Name: name}
	v.Kind = inidoc.Required(s, "kind", inidoc.OneOf(KindEngine, KindPlain))
	v.Model = inidoc.Optional(s, "model", "", inidoc.Word)
	v.Fencing = inidoc.Optional(s, "fencing", FencingIgnored, inidoc.OneOf(FencingChecked, FencingIgnored))
	v.Floor = inidoc.Optional(s, "floor", 0, inidoc.Whole(0, maxReplicas))
	v.Timeout = inidoc.Optional(s, "timeout", defaultTimeout, inidoc.Span(minTimeout, maxTimeout))
	v.Repeatable = inidoc.Optional(s, "repeatable", nil, patterns)
	for _, zone := range s.Prefixed(replicasPrefix) {
		n := inidoc.Optional(s, replicasPrefix+zone, 0, inidoc.Whole(0, maxReplicas))
		v.Replicas = append(v.Replicas, Placement{Zone: zone, Replicas: n})
	}
	p.doc.Services = append(p.doc.Services, v)
}

func (p *parser) customer(s *inidoc.Section, name string) {
	share := inidoc.Optional(s, "share", defaultShare, inidoc.Whole(1, maxShare))
	p.doc.Customers = append(p.doc.Customers, Customer{Name: name, Share: share})
}

func digest(text string) (chunk.Digest, error) {
	d := chunk.Digest(text)
	if err := d.Check(); err != nil {
		return "", errors.New("want sha256: and 64 hexadecimal digits")
	}
	return d, nil
}

// patterns parses "METHOD /path" items parted by commas.
func patterns(text string) ([]string, error) {
	items := inidoc.List(text)
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
