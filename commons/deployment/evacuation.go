package deployment

import (
	"cmp"
	"maps"
	"slices"
)

// EvacuationRecordConfig holds the construction parameters of an EvacuationRecord.
type EvacuationRecordConfig struct {
	Domain string
	Offset int64 // offset of the record in the store
	Ended  bool  // the request is rescinded
}

// EvacuationRecord is one record of the store that requests the evacuation of a failure
// domain, or rescinds that request. It is immutable.
type EvacuationRecord struct{ config EvacuationRecordConfig }

// NewEvacuationRecord returns a record with the given parameters.
func NewEvacuationRecord(config EvacuationRecordConfig) EvacuationRecord {
	return EvacuationRecord{config: config}
}

// Domain returns the failure domain.
func (r EvacuationRecord) Domain() string { return r.config.Domain }

// Offset returns the offset of the record in the store.
func (r EvacuationRecord) Offset() int64 { return r.config.Offset }

// Ended reports whether the record rescinds the request.
func (r EvacuationRecord) Ended() bool { return r.config.Ended }

// EvacuationsConfig holds the construction parameters of Evacuations.
type EvacuationsConfig struct {
	Era     int64            // era of the store that the offsets belong to
	Through int64            // all records at lower offsets are taken into account
	Offsets map[string]int64 // by failure domain, offset of the record that requests its evacuation
}

// Evacuations is the set of failure domains that the operator has asked to evacuate, as
// of an offset of the store: a domain that is not in it and was requested at a lower
// offset has been returned to service. It is immutable; the zero value knows of no record.
type Evacuations struct{ config EvacuationsConfig }

// NewEvacuations returns the set with the given parameters.
func NewEvacuations(config EvacuationsConfig) Evacuations {
	config.Offsets = maps.Clone(config.Offsets)
	return Evacuations{config: config}
}

// Era returns the era of the store that the set was read in.
func (e Evacuations) Era() int64 { return e.config.Era }

// Through returns the offset below which all records are taken into account.
func (e Evacuations) Through() int64 { return e.config.Through }

// Contains reports whether a failure domain is to be evacuated.
func (e Evacuations) Contains(domain string) bool {
	_, ok := e.config.Offsets[domain]
	return ok
}

// Len returns the number of failure domains that are to be evacuated.
func (e Evacuations) Len() int { return len(e.config.Offsets) }

// Without returns the failure domains of the set that are not in another one, sorted.
func (e Evacuations) Without(other Evacuations) []string {
	var domains []string
	for domain := range e.config.Offsets {
		if !other.Contains(domain) {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// Apply returns the set after records that were read from the store, up to the given
// position, and the domains, sorted, that they return to service. Those may include domains
// that were requested and rescinded since the last read. Records that are already taken
// into account have no effect, nor have those of an older era. Those of a newer one have,
// but the set stays one of its own era, as it lacks the records before them.
func (e Evacuations) Apply(records []EvacuationRecord, through Position) (next Evacuations, ended []string) {
	if through.Era() < e.config.Era {
		return e, nil
	}
	newer := through.Era() > e.config.Era
	offsets := e.copyOffsets()
	rescinded := make(map[string]bool)
	for _, record := range records {
		if !newer && record.Offset() < max(e.config.Through, offsets[record.Domain()]) {
			continue
		}
		if rescinded[record.Domain()] = record.Ended(); record.Ended() {
			delete(offsets, record.Domain())
			continue
		}
		offsets[record.Domain()] = record.Offset()
		if newer {
			offsets[record.Domain()] = e.config.Through
		}
	}
	maps.DeleteFunc(rescinded, func(_ string, ended bool) bool { return !ended })
	next = Evacuations{config: EvacuationsConfig{Era: e.config.Era, Through: e.config.Through, Offsets: offsets}}
	if !newer {
		next.config.Through = max(through.Offset(), e.config.Through)
	}
	return next, slices.Sorted(maps.Keys(rescinded))
}

// Union returns the set with the domains of another one, whatever its era. They count as
// requested last.
func (e Evacuations) Union(other Evacuations) Evacuations {
	offsets := e.copyOffsets()
	for domain := range other.config.Offsets {
		if !e.Contains(domain) {
			offsets[domain] = e.config.Through
		}
	}
	return Evacuations{config: EvacuationsConfig{Era: e.config.Era, Through: e.config.Through, Offsets: offsets}}
}

// copyOffsets returns a copy of the offsets, which is not nil.
func (e Evacuations) copyOffsets() map[string]int64 {
	offsets := make(map[string]int64, len(e.config.Offsets))
	maps.Copy(offsets, e.config.Offsets)
	return offsets
}

// Merge returns the set with what another report knows beyond it: a read of all keys of
// the store, or the set of another process. What the report lacks has been returned to
// service only if the report is newer; what only the report has is in force only if this
// set does not know yet that it was rescinded. A report of a newer era replaces the set,
// unless it is not complete; one of an older era says nothing.
func (e Evacuations) Merge(report Evacuations) Evacuations {
	switch {
	case report.config.Era < e.config.Era:
		return e
	case report.config.Era > e.config.Era && report.config.Through == 0:
		known := Evacuations{config: EvacuationsConfig{Era: report.config.Era, Offsets: report.copyOffsets()}}
		return known.Union(e)
	case report.config.Era > e.config.Era:
		return report
	}
	newer := report.config.Through > e.config.Through
	offsets := make(map[string]int64)
	for domain, offset := range e.config.Offsets {
		if !newer || offset >= report.config.Through || report.Contains(domain) {
			offsets[domain] = offset
		}
	}
	for domain, offset := range report.config.Offsets {
		if offset >= e.config.Through || e.Contains(domain) {
			offsets[domain] = max(offset, offsets[domain])
		}
	}
	return Evacuations{config: EvacuationsConfig{Era: e.config.Era, Through: max(report.config.Through, e.config.Through), Offsets: offsets}}
}

// Report returns the parameters of a set for other processes with at most limit domains,
// the last requested ones. A set that is not complete states no offset, so that it
// returns no domain to service.
func (e Evacuations) Report(limit int) EvacuationsConfig {
	if len(e.config.Offsets) <= limit {
		return EvacuationsConfig{Era: e.config.Era, Through: e.config.Through, Offsets: maps.Clone(e.config.Offsets)}
	}
	offsets := e.config.Offsets
	domains := slices.SortedFunc(maps.Keys(offsets), func(a, b string) int { return cmp.Compare(offsets[b], offsets[a]) })
	report := EvacuationsConfig{Era: e.config.Era, Offsets: make(map[string]int64, limit)}
	for _, domain := range domains[:limit] {
		report.Offsets[domain] = offsets[domain]
	}
	return report
}
