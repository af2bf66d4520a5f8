package publish_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/sesamewell/publish"
)

const inventoryText = "[tenant lantern]\nrate = 1\nburst = 1\n"

func parse(text string) *fleetstate.Inventory {
	inventory, err := fleetstate.ParseInventory("inv", []byte(text))
	if err != nil {
		panic(err)
	}
	return inventory
}

// fakeLog is a log service in memory whose calls can be made to fail.
type fakeLog struct {
	first        int64 // offset of records[0]
	records      []json.RawMessage
	loseResponse bool               // appends take effect, but return ErrOutcomeUnknown
	failAppend   bool               // appends fail without effect
	failRead     bool               // reads fail
	before       func(log *fakeLog) // called before each append; may be nil
	after        func(log *fakeLog) // called after each append; may be nil
}

func (f *fakeLog) Append(record []byte) (int64, error) {
	if f.failAppend {
		return 0, logclient.ErrUnavailable
	}
	if f.before != nil {
		f.before(f)
	}
	f.records = append(f.records, record)
	if f.after != nil {
		f.after(f)
	}
	if f.loseResponse {
		return 0, logclient.ErrOutcomeUnknown
	}
	return f.head() - 1, nil
}

func (f *fakeLog) Read(from int64, _ time.Duration) (logclient.ReadResult, error) {
	config := logclient.ReadResultConfig{First: f.first, Head: f.head(), From: from}
	if f.failRead {
		return logclient.ReadResult{}, logclient.ErrUnavailable
	}
	if from < f.first {
		return logclient.NewReadResult(config), logclient.ErrTrimmed
	}
	if from < config.Head {
		config.Records = f.records[from-f.first:]
	}
	return logclient.NewReadResult(config), nil
}

func (f *fakeLog) head() int64 { return f.first + int64(len(f.records)) }

// trim drops all records except the newest keep ones.
func (f *fakeLog) trim(keep int) {
	excess := max(len(f.records)-keep, 0)
	f.records, f.first = f.records[excess:], f.first+int64(excess)
}

func TestReplaceOutcome(t *testing.T) {
	publishOther := func(log *fakeLog) {
		log.before = nil
		other := publish.New(log)
		if _, err := other.Replace("rival", parse(inventoryText)); err != nil {
			panic(err)
		}
	}
	appendSnapshot := func(log *fakeLog) {
		log.after = nil
		reader := publish.New(log)
		if err := reader.Refresh(); err != nil {
			panic(err)
		}
		body, err := fleetstate.NewSnapshot(reader.Revision(), nil).Encode()
		if err != nil {
			panic(err)
		}
		record, err := fleetstate.NewRecord(fleetstate.RecordConfig{Change: "s", Kind: fleetstate.KindSnapshot, Body: body}).Encode()
		if err != nil {
			panic(err)
		}
		log.records = append(log.records, record)
	}
	cases := map[string]struct {
		log      *fakeLog
		revision int64
		want     error
	}{
		"accepted":                  {log: &fakeLog{}, revision: 1},
		"append response lost":      {log: &fakeLog{loseResponse: true}, revision: 1},
		"log unavailable":           {log: &fakeLog{failAppend: true}, want: logclient.ErrUnavailable},
		"another change first":      {log: &fakeLog{before: publishOther}, want: publish.ErrSuperseded},
		"snapshot after the change": {log: &fakeLog{after: appendSnapshot}, want: publish.ErrUnconfirmed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := publish.New(tc.log).Replace("mine", parse(inventoryText))
			if !errors.Is(err, tc.want) {
				t.Errorf("error = %v, want %v", err, tc.want)
			}
			if diff := cmp.Diff(tc.revision, got); diff != "" {
				t.Errorf("revision (-want +got):\n%s", diff)
			}
		})
	}
}
