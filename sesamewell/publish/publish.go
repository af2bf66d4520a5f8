// Package publish puts changes of the configuration into the platform's log
// and finds out whether they were accepted.
package publish

import (
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/commons/statesync"
)

// Errors of a change.
var (
	ErrSuperseded  = errors.New("another change came first; read the current revision and apply again")
	ErrUnconfirmed = errors.New("the log service did not confirm the change in time")
)

// Log is the part of the log service's client that the publisher uses.
type LogService interface {
	Append(record []byte) (int64, error)
	Read(from int64, wait time.Duration) (logclient.ReadResult, error)
}

// Publisher is responsible for one operator's view of the register.
type Publisher struct {
	log      LogService
	revision *fleetstate.Revision
}

// New returns a publisher that has read nothing.
func New(log LogService) *Publisher {
	return &Publisher{log: log, revision: fleetstate.InitialRevision()}
}

// Revision returns the newest revision that was read.
func (p *Publisher) Revision() *fleetstate.Revision { return p.revision }

// Refresh reads the log to its end.
func (p *Publisher) Refresh() error {
	_, _, err := p.applyNew("")
	return err
}

// Replace publishes the edits that make the inventory of the current revision
// equal to another one.
func (p *Publisher) Replace(change string, inventory *fleetstate.Inventory) (int64, error) {
	return p.Edit(change, fleetstate.DiffInventories(p.revision.Inventory(), inventory))
}

// Edit publishes edits of the current revision as the change with the given id.
// It returns the revision that the change made, the current one when there is
// nothing to edit, or ErrSuperseded when another change came first.
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
	if _, err := p.log.Append(data); err != nil && !errors.Is(err, logclient.ErrOutcomeUnknown) {
		return 0, err
	}
	return p.findOutcome(change)
}

// settle finds the change in the log, also when the answer to its append was
// lost.
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

// follow reads to the end of the log. It reports whether the change was seen
// and which revision it made, zero if it was rejected.
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

// read returns the records that the publisher lacks. It first takes over a
// snapshot at the start, or when the log service has dropped some of them.
func (p *Publisher) readNew() ([]logclient.Entry, error) {
	extract, err := p.log.Read(p.revision.Offset(), 0)
	if err == nil && p.revision.Offset() > 0 {
		return statesync.ReadAll(p.log, p.revision.Offset())
	}
	if err != nil && !errors.Is(err, logclient.ErrTrimmed) {
		return nil, err
	}
	entries, err := statesync.ReadAll(p.log, extract.First())
	if err != nil {
		return nil, err
	}
	snapshot, ok := statesync.NewestSnapshot(entries, extract.First())
	if !ok && extract.First() <= p.revision.Offset() {
		return entries, nil
	}
	if !ok {
		return nil, statesync.ErrNoSnapshot
	}
	p.revision, err = p.revision.Restore(snapshot)
	return entries, err
}
