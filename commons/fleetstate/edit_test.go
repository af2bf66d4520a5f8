package fleetstate_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/fleetstate"
)

func parseInventory(t testing.TB, text string) *fleetstate.Inventory {
	t.Helper()
	inventory, err := fleetstate.ParseInventory("inv.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return inventory
}

func TestDiffInventories(t *testing.T) {
	const tenant = "[tenant new]\nrate = 1\nburst = 2\n"
	cases := map[string]struct {
		to   string
		want []fleetstate.EditConfig
	}{
		"no change":        {to: smallInventory},
		"comments, spaces": {to: "# for the weekend\n" + strings.ReplaceAll(smallInventory, " = ", "="), want: nil},
		"added":            {to: smallInventory + tenant, want: []fleetstate.EditConfig{{Section: "tenant new", Lines: []string{"rate = 1", "burst = 2"}}}},
		"changed":          {to: strings.Replace(smallInventory, "14GiB", "15GiB", 1), want: []fleetstate.EditConfig{{Section: "model trail", Lines: []string{"memory = 15GiB"}}}},
		"removed":          {to: strings.Replace(smallInventory, "[model trail]\nmemory = 14GiB\n", "", 1), want: []fleetstate.EditConfig{{Section: "model trail", Remove: true}}},
	}
	from := parseInventory(t, smallInventory)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			to := parseInventory(t, tc.to)
			edits := fleetstate.DiffInventories(from, to)
			var got []fleetstate.EditConfig
			for _, edit := range edits {
				got = append(got, edit.Config())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("edits (-want +got):\n%s", diff)
			}
			edited, err := from.WithEdits("inv.ini", edits)
			if err != nil {
				t.Fatal(err)
			}
			if rest := fleetstate.DiffInventories(edited, to); len(rest) > 0 {
				t.Errorf("%d differences are left after %d edits", len(rest), len(edits))
			}
		})
	}
}

func TestEditsWithFaultsAreRejected(t *testing.T) {
	cases := map[string]fleetstate.EditConfig{
		"removed section missing": {Section: "model other", Remove: true},
		"removed section in use":  {Section: "backend engine-1", Remove: true},
		"bad value":               {Section: "model trail", Lines: []string{"memory = much"}},
	}
	for name, edit := range cases {
		t.Run(name, func(t *testing.T) {
			first, err := fleetstate.InitialRevision().Apply(0, encodeRecord(t, fleetstate.RecordConfig{Kind: fleetstate.KindReplace, Inventory: smallInventory}))
			if err != nil {
				t.Fatal(err)
			}
			next, err := first.Apply(1, encodeRecord(t, fleetstate.RecordConfig{Kind: fleetstate.KindAmend, Base: 1, Edits: []fleetstate.EditConfig{edit}}))
			if !errors.Is(err, fleetstate.ErrBadRecord) || next.Number() != 1 {
				t.Errorf("revision %d, error %v; want revision 1 and a bad record", next.Number(), err)
			}
		})
	}
}

func encodeRecord(t testing.TB, config fleetstate.RecordConfig) []byte {
	t.Helper()
	config.Change = "c"
	data, err := fleetstate.NewRecord(config).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// targetText returns the inventory of a fleet of the target size.
func targetText() string {
	var text strings.Builder
	for i := range 600 {
		fmt.Fprintf(&text, "[backend engine-%d]\nkind = engine\nmemory = 320GiB\nslots = 64\n", i)
		fmt.Fprintf(&text, "[instance side-%d]\nrole = side\nlink = 10.0.%d.%d:7100\noperator = 10.0.%d.%d:7190\ndomain = d-%d\nbackend = engine-%d\n", i, i/250, i%250, i/250, i%250, i%6, i)
	}
	for i := range 380 {
		fmt.Fprintf(&text, "[instance entry-%d]\nrole = entry\nlink = 10.1.%d.%d:7100\noperator = 10.1.%d.%d:7190\ndomain = d-%d\n", i, i/250, i%250, i/250, i%250, i%6)
	}
	for i := range 1600 {
		fmt.Fprintf(&text, "[model m-%d]\nmemory = 14GiB\ncache = 2GiB\n", i)
	}
	text.WriteString("[tenant t]\nrate = 1\nburst = 1\n")
	return text.String()
}

func BenchmarkApplyOneEditAtTargetSize(b *testing.B) {
	first, err := fleetstate.InitialRevision().Apply(0, encodeRecord(b, fleetstate.RecordConfig{Kind: fleetstate.KindReplace, Inventory: targetText()}))
	if err != nil {
		b.Fatal(err)
	}
	key := fleetstate.EditConfig{Section: "key k", Lines: []string{"tenant = t", "sha256 = " + strings.Repeat("a", 64)}}
	data := encodeRecord(b, fleetstate.RecordConfig{Kind: fleetstate.KindAmend, Base: 1, Edits: []fleetstate.EditConfig{key}})
	for b.Loop() {
		if _, err := first.Apply(1, data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "record-bytes")
	b.ReportMetric(float64(len(first.Inventory().Text())), "whole-bytes")
}
