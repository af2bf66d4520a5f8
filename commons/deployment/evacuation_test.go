package deployment_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/testkit"
)

func TestMain(m *testing.M) { testkit.RunRapid(m, testkit.RapidSeed, nil) }

// TestReportIsBounded guards against digests that grow with the keys in the store, and
// against a bounded report that returns the domains it leaves out to service.
func TestReportIsBounded(t *testing.T) {
	offsets := make(map[string]int64)
	for i := range 10 {
		offsets[fmt.Sprint(i)] = int64(i)
	}
	whole := deployment.NewEvacuations(deployment.EvacuationsConfig{Through: 10, Offsets: offsets})
	cases := map[string]struct {
		limit int
		want  deployment.EvacuationsConfig
	}{
		"complete":         {limit: 10, want: deployment.EvacuationsConfig{Through: 10, Offsets: offsets}},
		"the newest three": {limit: 3, want: deployment.EvacuationsConfig{Offsets: map[string]int64{"7": 7, "8": 8, "9": 9}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			report := whole.Report(tc.limit)
			if diff := cmp.Diff(tc.want, report); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]string(nil), whole.Without(whole.Merge(deployment.NewEvacuations(report)))); diff != "" {
				t.Errorf("domains returned to service by the report (-want +got):\n%s", diff)
			}
		})
	}
}

// TestApply guards against a read of the store that is behind what another process has told
// and puts an evacuation in force, or ends one, for the second time.
func TestApply(t *testing.T) {
	known := deployment.EvacuationsConfig{Through: 5, Offsets: map[string]int64{"a": 4}}
	cases := map[string]struct {
		records []deployment.EvacuationRecord
		through int64
		want    deployment.EvacuationsConfig
		ended   []string
	}{
		"none":                    {through: 7, want: deployment.EvacuationsConfig{Through: 7, Offsets: known.Offsets}},
		"older request":           {records: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "b", Offset: 3}}), through: 4, want: known},
		"older removal":           {records: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "a", Offset: 3, Ended: true}}), through: 4, want: known},
		"removal":                 {records: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "a", Offset: 5, Ended: true}}), through: 6, want: deployment.EvacuationsConfig{Through: 6}, ended: []string{"a"}},
		"removal and request":     {records: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "a", Offset: 5, Ended: true}, {Domain: "a", Offset: 6}}), through: 7, want: deployment.EvacuationsConfig{Through: 7, Offsets: map[string]int64{"a": 6}}},
		"request and removal":     {records: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "b", Offset: 5}, {Domain: "b", Offset: 6, Ended: true}}), through: 7, want: deployment.EvacuationsConfig{Through: 7, Offsets: known.Offsets}, ended: []string{"b"}},
		"repeated":                {records: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "a", Offset: 5}}), through: 6, want: deployment.EvacuationsConfig{Through: 6, Offsets: map[string]int64{"a": 5}}},
		"removal of an unknown":   {records: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "b", Offset: 5, Ended: true}}), through: 6, want: deployment.EvacuationsConfig{Through: 6, Offsets: known.Offsets}, ended: []string{"b"}},
		"several domains at once": {records: recordsOf([]deployment.EvacuationRecordConfig{{Domain: "b", Offset: 5}, {Domain: "c", Offset: 6}}), through: 7, want: deployment.EvacuationsConfig{Through: 7, Offsets: map[string]int64{"a": 4, "b": 5, "c": 6}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			next, ended := deployment.NewEvacuations(known).Apply(tc.records, deployment.NewPosition(0, tc.through))
			if diff := cmp.Diff(tc.want, next.Report(10), cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("evacuations (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.ended, ended); diff != "" {
				t.Errorf("domains returned to service (-want +got):\n%s", diff)
			}
		})
	}
}

// observer is a process that reads the store and hears other processes.
type observer struct {
	known    deployment.Evacuations
	position int64 // offset of its next read; -1 before its first one
}

// storeLog is the operator's records in the order of their offsets.
type storeLog []deployment.EvacuationRecord

// requested returns the domains requested by the records below an offset.
func (l storeLog) requested(through int64) map[string]int64 {
	offsets := make(map[string]int64)
	for _, record := range l[:through] {
		if record.Ended() {
			delete(offsets, record.Domain())
		} else {
			offsets[record.Domain()] = record.Offset()
		}
	}
	return offsets
}

// read makes an observer read the store: all keys at first, or if records were missed,
// else up to limit records since its last read.
func (l storeLog) read(o *observer, missed bool, limit int64) {
	end := int64(len(l))
	if o.position < 0 || missed {
		o.known = o.known.Merge(deployment.NewEvacuations(deployment.EvacuationsConfig{Through: end, Offsets: l.requested(end)}))
	} else {
		end = min(end, o.position+limit)
		o.known, _ = o.known.Apply(l[o.position:end], deployment.NewPosition(0, end))
	}
	o.position = end
}

// TestObserversAgreeWithTheStore guards against a removal that a stale, repeated or
// overtaken report undoes, against a request that one loses, and against observers that
// differ although they know the same records: whatever is read, told late, lost or
// forgotten in a restart, each knows exactly what the records up to its offset say.
func TestObserversAgreeWithTheStore(t *testing.T) {
	domains := rapid.SampledFrom([]string{"a", "b", "c"})
	rapid.Check(t, func(t *rapid.T) {
		var log storeLog
		observers := make([]*observer, 3)
		for i := range observers {
			observers[i] = &observer{position: -1}
		}
		reports := []deployment.EvacuationsConfig{{}} // all that were ever sent
		anyone := rapid.IntRange(0, len(observers)-1)
		t.Repeat(map[string]func(*rapid.T){
			"operator": func(t *rapid.T) {
				log = append(log, deployment.NewEvacuationRecord(deployment.EvacuationRecordConfig{Domain: domains.Draw(t, "domain"), Offset: int64(len(log)), Ended: rapid.Bool().Draw(t, "ended")}))
			},
			"read": func(t *rapid.T) {
				log.read(observers[anyone.Draw(t, "reader")], rapid.Bool().Draw(t, "missed"), rapid.Int64Range(0, 4).Draw(t, "limit"))
			},
			"send": func(t *rapid.T) {
				reports = append(reports, observers[anyone.Draw(t, "sender")].known.Report(rapid.IntRange(1, 4).Draw(t, "limit")))
			},
			"receive": func(t *rapid.T) {
				o := observers[anyone.Draw(t, "receiver")]
				report := deployment.NewEvacuations(rapid.SampledFrom(reports).Draw(t, "report"))
				o.known = o.known.Merge(report)
			},
			"restart": func(t *rapid.T) { *observers[anyone.Draw(t, "who")] = observer{position: -1} },
			"": func(t *rapid.T) {
				for _, o := range observers {
					checkKnown(t, log, o)
				}
			},
		})
	})
}

// checkKnown checks that an observer knows what the records up to its offset say. A bounded
// report may have told it of newer requests besides, which it must not have invented.
func checkKnown(t *rapid.T, log storeLog, o *observer) {
	through := o.known.Through()
	want := log.requested(through)
	got := o.known.Report(len(log) + 1).Offsets
	newer := maps.Clone(got)
	maps.DeleteFunc(newer, func(_ string, offset int64) bool { return offset < through })
	for domain, offset := range newer {
		if record := log[offset]; record.Ended() || record.Domain() != domain {
			t.Fatalf("%q is said to be requested at offset %d, where %+v stands", domain, offset, record)
		}
		delete(got, domain)
		delete(want, domain)
	}
	if len(want) == 0 && len(got) == 0 {
		return
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("domains requested below offset %d (-want +got):\n%s", through, diff)
	}
}

// recordsOf returns the records with the given parameters.
func recordsOf(configs []deployment.EvacuationRecordConfig) []deployment.EvacuationRecord {
	var records []deployment.EvacuationRecord
	for _, config := range configs {
		records = append(records, deployment.NewEvacuationRecord(config))
	}
	return records
}

// TestErasOfTheStore guards against offsets of a restored store that are compared with those
// before it: a new request is ignored, or an old one comes back.
func TestErasOfTheStore(t *testing.T) {
	known := deployment.EvacuationsConfig{Era: 2, Through: 5, Offsets: map[string]int64{"a": 4}}
	cases := map[string]struct {
		change func(known deployment.Evacuations) deployment.Evacuations
		want   deployment.EvacuationsConfig
	}{
		"report of an older era": {change: merge(deployment.EvacuationsConfig{Era: 1, Through: 9, Offsets: map[string]int64{"b": 8}}), want: known},
		"report of a newer era":  {change: merge(deployment.EvacuationsConfig{Era: 3, Through: 3, Offsets: map[string]int64{"b": 2}}), want: deployment.EvacuationsConfig{Era: 3, Through: 3, Offsets: map[string]int64{"b": 2}}},
		"part of a newer era":    {change: merge(deployment.EvacuationsConfig{Era: 3, Offsets: map[string]int64{"b": 2}}), want: deployment.EvacuationsConfig{Era: 3, Offsets: map[string]int64{"a": 0, "b": 2}}},
		"record of an older era": {change: apply(1, 9, deployment.EvacuationRecordConfig{Domain: "a", Offset: 8, Ended: true}), want: known},
		"request of a newer era": {change: apply(3, 3, deployment.EvacuationRecordConfig{Domain: "b", Offset: 2}), want: deployment.EvacuationsConfig{Era: 2, Through: 5, Offsets: map[string]int64{"a": 4, "b": 5}}},
		"end in a newer era":     {change: apply(3, 3, deployment.EvacuationRecordConfig{Domain: "a", Offset: 2, Ended: true}), want: deployment.EvacuationsConfig{Era: 2, Through: 5}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := tc.change(deployment.NewEvacuations(known)).Report(10)
			if diff := cmp.Diff(tc.want, got, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("evacuations (-want +got):\n%s", diff)
			}
		})
	}
}

func merge(report deployment.EvacuationsConfig) func(deployment.Evacuations) deployment.Evacuations {
	return func(known deployment.Evacuations) deployment.Evacuations {
		return known.Merge(deployment.NewEvacuations(report))
	}
}

func apply(era, through int64, records ...deployment.EvacuationRecordConfig) func(deployment.Evacuations) deployment.Evacuations {
	return func(known deployment.Evacuations) deployment.Evacuations {
		next, _ := known.Apply(recordsOf(records), deployment.NewPosition(era, through))
		return next
	}
}
