// Package publish appends changes of the inventory to the platform's log and
// determines whether they were accepted.
package publish

import (
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/commons/statesync"
)

// Errors of publishing a change.
var (
	ErrSuperseded  = errors.New("another change came first; read the current revision and apply again")
	ErrUnconfirmed = errors.New("the log service did not confirm the change in time")
)

// LogService is the part of the client of the log service that a Publisher uses.
type LogService interface {
	Append(record []byte) (int64, error)
	Read(from int64, wait time.Duration) (logclient.ReadResult, error)
}

// Publisher publishes the changes of one operator, based on the newest revision of
// the fleet state that it has read.
type Publisher struct {
	logService LogService
	revision   *fleetstate.Revision
}

// New returns a publisher at the initial revision, which has read nothing yet.
func New(log LogService) *Publisher {
	return &Publisher{logService: log, revision: fleetstate.InitialRevision()}
}

// Revision returns the newest revision that the publisher has read.
func (p *Publisher) Revision() *fleetstate.Revision { return p.revision }

// Refresh reads the log to its end and applies its records.
func (p *Publisher) Refresh() error {
	_, _, err := p.applyNew("")
	return err
}

// Replace publishes the edits that turn the inventory of the current revision into
// the given one. The results are those of Edit.
func (p *Publisher) Replace(change string, inventory *fleetstate.Inventory) (int64, error) {
	return p.Edit(change, fleetstate.DiffInventories(p.revision.Inventory(), inventory))
}

// Edit publishes edits of the current revision as a change with the given ID. It
// returns the number of the revision that the change created, or of the current
// one if there are no edits. It returns ErrSuperseded if another change was
// accepted first, and ErrUnconfirmed if the outcome could not be determined.
func (p *Publisher) Edit(change string, edits []fleetstate.Edit) (int64, error) {
	if len(edits) == 0 {
		return p.revision.Number(), nil
	}
	if _, err := p.revision.Inventory().WithEdits("inventory", edits); err != nil {
		return 0, err
	}
	config := fleetstate.RecordConfig{Change: change, Base: p.revision.Number(), Kind: fleetstate.KindAmend}
	for _, edit := range edits {
		config.Edits = append(config.Edits, edit.Config())
	}
	record := fleetstate.NewRecord(config)
	data, err := record.Encode()
	if err != nil {
		return 0, err
	}
	if _, err := p.logService.Append(data); err != nil && !errors.Is(err, logclient.ErrOutcomeUnknown) {
		return 0, err
	}
	return p.findOutcome(change)
}

// findOutcome looks for the change in the log, which also works if the response to
// its append was lost. It returns the number of the revision that the change
// created.
func (p *Publisher) findOutcome(change string) (int64, error) {
	found, accepted, err := p.applyNew(change)
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, ErrUnconfirmed.Error()), ErrUnconfirmed)
	}
	if !found {
		return 0, errors.WithStack(ErrUnconfirmed)
	}
	if accepted == 0 {
		return 0, errors.WithStack(ErrSuperseded)
	}
	return accepted, nil
}

// applyNew applies the new records up to the end of the log. It reports whether
// the change was among them and the number of the revision that it created, or
// zero if it was rejected.
func (p *Publisher) applyNew(change string) (found bool, accepted int64, err error) {
	entries, err := p.readNew()
	if err != nil {
		return false, 0, err
	}
	for _, entry := range entries {
		if entry.Offset() < p.revision.Offset() {
			continue
		}
		next, rejection := p.revision.Apply(entry.Offset(), entry.Data())
		record, err := fleetstate.DecodeRecord(entry.Data())
		if err == nil && change != "" && record.Change() == change {
			found = true
			if rejection == nil {
				accepted = next.Number()
			}
		}
		p.revision = next
	}
	return found, accepted, nil
}

// readNew returns the records that have not been applied yet. On the first read,
// or if the log service has already trimmed some of these records, it first
// restores the newest snapshot.
func (p *Publisher) readNew() ([]logclient.Entry, error) {
	result, err := p.logService.Read(p.revision.Offset(), 0)
	if err == nil && p.revision.Offset() > 0 {
		return statesync.ReadAll(p.logService, p.revision.Offset())
	}
	if err != nil && !errors.Is(err, logclient.ErrTrimmed) {
		return nil, err
	}
	entries, err := statesync.ReadAll(p.logService, result.First())
	if err != nil {
		return nil, err
	}
	snapshot, ok := statesync.NewestSnapshot(entries, result.First())
	if !ok && result.First() <= p.revision.Offset() {
		return entries, nil
	}
	if !ok {
		return nil, statesync.ErrNoSnapshot
	}
	p.revision, err = p.revision.Restore(snapshot)
	return entries, err
}
