package register_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/register"
)

func TestPlanIsTheCurrentPlanners(t *testing.T) {
	cases := map[string]struct {
		epochs []int64 // of the plan records, in order
		want   []string
	}{
		"current planner":            {epochs: []int64{2}, want: []string{"m0"}},
		"no planner's":               {epochs: []int64{0}, want: nil},
		"earlier planner's":          {epochs: []int64{1}, want: nil},
		"late record changes little": {epochs: []int64{2, 1, 2}, want: []string{"m0", "m2"}},
		"made from an earlier plan":  {epochs: []int64{2, 2, 2}, want: []string{"m0", "m2"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			records := []register.Record{
				register.NewRecord(register.RecordConfig{Kind: register.Take, Claim: register.PlannerRole, Holder: "p1"}),
				register.NewRecord(register.RecordConfig{Kind: register.Take, Claim: register.PlannerRole, Holder: "p2", Epoch: 1}),
			}
			for i, epoch := range tc.epochs {
				base := int64(0)
				if i == len(tc.epochs)-1 && i > 0 {
					base = 3
				}
				record, err := register.NewPlanRecord(register.PlanConfig{
					Epoch:   epoch,
					Base:    base,
					Changes: []register.PlanChange{{Backend: "engine-1", Load: []string{"m" + string(rune('0'+i))}}},
				})
				if err != nil {
					t.Fatal(err)
				}
				records = append(records, record)
			}
			revision := register.Initial()
			for offset, record := range records {
				data, err := record.Encode()
				if err != nil {
					t.Fatal(err)
				}
				revision, _ = revision.Fold(int64(offset), data)
			}
			if diff := cmp.Diff(tc.want, revision.Plan().Models("engine-1")); diff != "" {
				t.Errorf("plan (-want +got):\n%s", diff)
			}
		})
	}
}
