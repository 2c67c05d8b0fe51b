package envdoc

import "fmt"

// checkReferences checks that the regions, zones and models to which sections refer
// exist, and that each service's placement is possible.
func (p *parser) checkReferences() {
	if len(p.file.Sections) == 0 {
		return
	}
	if p.doc.Origin.Region != "" {
		p.checkRegion(sectionOrigin, p.doc.Origin.Region)
	}
	for _, z := range p.doc.Zones {
		if z.Region != "" {
			p.checkRegion(sectionZone+"."+z.Name, z.Region)
		}
	}
	for _, s := range p.doc.Services {
		p.checkModel(s)
		p.checkPlacement(s)
	}
	if len(p.doc.Services) == 0 {
		p.file.Reject("no service: want at least one section [service.NAME]")
	}
}

func (p *parser) checkRegion(section, region string) {
	if _, ok := p.doc.RegionByName(region); !ok {
		p.reject(section, "region", region, "unknown region: there is no section [region."+region+"]")
	}
}

func (p *parser) checkModel(s Service) {
	section := sectionService + "." + s.Name
	switch {
	case s.Kind == KindEngine && s.Model == "":
		p.reject(section, "model", "", "missing: an engine service needs a model")
	case s.Kind == KindPlain && s.Model != "":
		p.reject(section, "model", s.Model, "a plain service has no model")
	case s.Kind == KindEngine:
		if _, ok := p.doc.ModelByName(s.Model); !ok {
			p.reject(section, "model", s.Model, "unknown model: there is no section [model."+s.Model+"]")
		}
	}
}

func (p *parser) checkPlacement(s Service) {
	section := sectionService + "." + s.Name
	total := 0
	for _, r := range s.Replicas {
		total += r.Replicas
		if _, ok := p.doc.ZoneByName(r.Zone); !ok {
			p.reject(section, replicasPrefix+r.Zone, fmt.Sprint(r.Replicas), "unknown zone: there is no section [zone."+r.Zone+"]")
		}
		// If the floor is not below the number of replicas, none of them may stop
		// serving to load a version: a rollout would wait forever without
		// reporting an error.
		if s.Kind == KindEngine && r.Replicas > 0 && s.Floor >= r.Replicas {
			p.reject(section, "floor", fmt.Sprint(s.Floor), fmt.Sprintf("leaves none of the %d replicas in zone %s free to load a version", r.Replicas, r.Zone))
		}
	}
	if total == 0 {
		p.reject(section, "", "", "has no target: want replicas.ZONE = 1 or more for a zone")
	}
}

func (p *parser) reject(section, key, value, reason string) {
	if s := p.file.Section(section); s != nil {
		s.Reject(key, value, reason)
	}
}
