package fleetstate

import (
	"maps"
	"slices"
)

// evacuationKind is the kind of the sections that request the evacuation of a failure
// domain. They have no settings.
const evacuationKind = "evacuation"

// EvacuationSection returns the section by which the operator requests the evacuation of
// a failure domain.
func EvacuationSection(domain string) string { return evacuationKind + " " + domain }

// Evacuated reports whether a failure domain is to be evacuated: the sides of its
// instances get no new attempts.
func (i *Inventory) Evacuated(domain string) bool { return i.evacuated[domain] }

// EvacuatedDomains returns the failure domains that are to be evacuated, sorted.
func (i *Inventory) EvacuatedDomains() []string { return slices.Sorted(maps.Keys(i.evacuated)) }

// HasDomain reports whether an instance belongs to a failure domain.
func (i *Inventory) HasDomain(domain string) bool {
	for _, instance := range i.instances {
		if instance.domain == domain {
			return true
		}
	}
	return false
}

// readEvacuation reads the request to evacuate a failure domain, whose name may contain
// what no other name may, as the domain of an instance does.
func (p *parser) readEvacuation(domain string) {
	if domain == "" {
		p.addFault("", "section [%s] needs a failure domain, such as [evacuation room-2]", p.section)
		return
	}
	for _, key := range p.file.Keys(p.section) {
		p.addFault(key, "[%s] has no key %q; it takes none", p.section, key)
	}
	p.inventory.evacuated[domain] = true
}

// checkEvacuations reports failure domains without instances, whose evacuation would have
// no effect. Only an inventory that is about to be applied is checked, so that the last
// instance of a domain may leave an inventory in force.
func (p *parser) checkEvacuations() {
	for _, domain := range p.inventory.EvacuatedDomains() {
		if !p.inventory.HasDomain(domain) {
			p.section = EvacuationSection(domain)
			p.addFault("", "no instance belongs to failure domain %q; remove the section or mend the name", domain)
		}
	}
}
