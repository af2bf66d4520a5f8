package publish_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/logbook"
	"sesamewell.example/sesamewell/publish"
)

const inventory = "[tenant lantern]\nrate = 1\nburst = 1\n"

// fakeLog keeps records in memory and fails on demand.
type fakeLog struct {
	records    []json.RawMessage
	loseAnswer bool
	refuse     bool
	before     func(log *fakeLog)
}

func (f *fakeLog) Append(record []byte) (int64, error) {
	if f.refuse {
		return 0, logbook.ErrUnavailable
	}
	if f.before != nil {
		f.before(f)
	}
	f.records = append(f.records, record)
	if f.loseAnswer {
		return 0, logbook.ErrUnknown
	}
	return int64(len(f.records) - 1), nil
}

func (f *fakeLog) Read(from int64, _ time.Duration) (logbook.Extract, error) {
	config := logbook.ExtractConfig{Head: int64(len(f.records)), From: from}
	if from < config.Head {
		config.Records = f.records[from:]
	}
	return logbook.NewExtract(config), nil
}

func TestReplaceTellsTheTruth(t *testing.T) {
	rival := func(log *fakeLog) {
		log.before = nil
		other := publish.New(log)
		if _, err := other.Replace("rival", inventory); err != nil {
			panic(err)
		}
	}
	cases := map[string]struct {
		log      *fakeLog
		revision int64
		want     error
	}{
		"accepted":               {log: &fakeLog{}, revision: 1},
		"answer lost":            {log: &fakeLog{loseAnswer: true}, revision: 1},
		"log down":               {log: &fakeLog{refuse: true}, want: logbook.ErrUnavailable},
		"another operator first": {log: &fakeLog{before: rival}, want: publish.ErrSuperseded},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := publish.New(tc.log).Replace("mine", inventory)
			if !errors.Is(err, tc.want) {
				t.Errorf("error = %v, want %v", err, tc.want)
			}
			if diff := cmp.Diff(tc.revision, got); diff != "" {
				t.Errorf("revision (-want +got):\n%s", diff)
			}
		})
	}
}
