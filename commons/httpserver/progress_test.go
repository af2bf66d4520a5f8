package httpserver_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/httpserver"
)

func TestProgressStalls(t *testing.T) {
	const limit = 10 * time.Second
	type look struct {
		wrote, unsent int
		stalled       bool
	}
	cases := map[string][]look{ // four seconds between two looks
		"all sent":              {{wrote: 100}, {}, {}, {}, {}},
		"slow":                  {{wrote: 100, unsent: 90}, {unsent: 89}, {unsent: 88}, {unsent: 87}, {unsent: 86}},
		"nothing taken":         {{wrote: 100, unsent: 90}, {unsent: 90}, {unsent: 90}, {unsent: 90, stalled: true}},
		"more written meantime": {{wrote: 100, unsent: 90}, {wrote: 50, unsent: 140}, {wrote: 50, unsent: 190}, {wrote: 50, unsent: 240, stalled: true}},
		"more written and some taken": {{wrote: 100, unsent: 90}, {wrote: 50, unsent: 139}, {wrote: 50, unsent: 188}, {wrote: 50, unsent: 237},
			{wrote: 50, unsent: 286}},
		"idle before": {{}, {}, {}, {}, {wrote: 100, unsent: 100}, {unsent: 100}, {unsent: 100, stalled: true}},
	}
	for name, looks := range cases {
		t.Run(name, func(t *testing.T) {
			var p httpserver.Progress
			now := time.Unix(1000, 0)
			for i, look := range looks {
				p.Wrote(look.wrote)
				if diff := cmp.Diff(look.stalled, p.Stalled(now, look.unsent, limit)); diff != "" {
					t.Errorf("stalled at look %d (-want +got):\n%s", i, diff)
				}
				now = now.Add(4 * time.Second)
			}
		})
	}
}
