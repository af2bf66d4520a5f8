package fleetstate_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/fleetstate"
)

func TestOnlyCurrentPlannerChangesPlan(t *testing.T) {
	cases := map[string]struct {
		epochs []int64 // epochs of the plan records, in order
		want   []string
	}{
		"current planner":                   {epochs: []int64{2}, want: []string{"m0"}},
		"no planner":                        {epochs: []int64{0}, want: nil},
		"earlier planner":                   {epochs: []int64{1}, want: nil},
		"record of earlier planner ignored": {epochs: []int64{2, 1, 2}, want: []string{"m0", "m2"}},
		"based on an earlier plan":          {epochs: []int64{2, 2, 2}, want: []string{"m0", "m2"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			records := []fleetstate.Record{
				fleetstate.NewRecord(fleetstate.RecordConfig{Kind: fleetstate.KindClaim, Claim: fleetstate.PlannerRole, Holder: "p1"}),
				fleetstate.NewRecord(fleetstate.RecordConfig{Kind: fleetstate.KindClaim, Claim: fleetstate.PlannerRole, Holder: "p2", Epoch: 1}),
			}
			for i, epoch := range tc.epochs {
				base := int64(0)
				if i == len(tc.epochs)-1 && i > 0 {
					base = 3
				}
				record, err := fleetstate.NewPlanRecord(fleetstate.PlanConfig{
					Epoch:   epoch,
					Base:    base,
					Changes: []fleetstate.PlanChange{{Backend: "engine-1", Load: []string{"m" + string(rune('0'+i))}}},
				})
				if err != nil {
					t.Fatal(err)
				}
				records = append(records, record)
			}
			revision := fleetstate.InitialRevision()
			for offset, record := range records {
				data, err := record.Encode()
				if err != nil {
					t.Fatal(err)
				}
				revision, _ = revision.Apply(int64(offset), data)
			}
			if diff := cmp.Diff(tc.want, revision.Plan().Models("engine-1")); diff != "" {
				t.Errorf("plan (-want +got):\n%s", diff)
			}
		})
	}
}
