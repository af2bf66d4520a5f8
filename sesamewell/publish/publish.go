// Package publish puts changes of the configuration into the platform's log
// and finds out whether they were accepted.
package publish

import (
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/logbook"
	"sesamewell.example/commons/register"
)

// Errors of a change.
var (
	ErrSuperseded = errors.New("another change came first; read the current revision and apply again")
	ErrUndecided  = errors.New("the log service did not confirm the change in time")
)

// Log is the part of the log service's client that the publisher uses.
type Log interface {
	Append(record []byte) (int64, error)
	Read(from int64, wait time.Duration) (logbook.Extract, error)
}

// Publisher is responsible for one operator's view of the register.
type Publisher struct {
	log      Log
	revision *register.Revision
}

// New returns a publisher that has read nothing.
func New(log Log) *Publisher { return &Publisher{log: log, revision: register.Initial()} }

// Revision returns the newest revision that was read.
func (p *Publisher) Revision() *register.Revision { return p.revision }

// Refresh reads the log to its end.
func (p *Publisher) Refresh() error {
	_, _, err := p.follow("")
	return err
}

// Replace publishes a whole inventory as the change with the given id, made
// from the current revision. It returns the revision that the change made, or
// ErrSuperseded when another change came first.
func (p *Publisher) Replace(change, inventory string) (int64, error) {
	record := register.NewRecord(register.RecordConfig{
		Change:    change,
		Base:      p.revision.Number(),
		Kind:      register.Replace,
		Inventory: inventory,
	})
	data, err := record.Encode()
	if err != nil {
		return 0, err
	}
	if _, err := p.log.Append(data); err != nil && !errors.Is(err, logbook.ErrUnknown) {
		return 0, err
	}
	return p.settle(change)
}

// settle finds the change in the log, also when the answer to its append was
// lost.
func (p *Publisher) settle(change string) (int64, error) {
	found, accepted, err := p.follow(change)
	if err != nil {
		return 0, errors.CombineErrors(errors.WithStack(ErrUndecided), err)
	}
	if !found {
		return 0, errors.WithStack(ErrUndecided)
	}
	if accepted == 0 {
		return 0, errors.WithStack(ErrSuperseded)
	}
	return accepted, nil
}

// follow reads to the end of the log. It reports whether the change was seen
// and which revision it made, zero if it was rejected.
func (p *Publisher) follow(change string) (found bool, accepted int64, err error) {
	for {
		extract, err := p.log.Read(p.revision.Offset(), 0)
		if err != nil {
			return found, accepted, err
		}
		for _, entry := range extract.Entries() {
			next, rejection := p.revision.Fold(entry.Offset(), entry.Data())
			record, err := register.DecodeRecord(entry.Data())
			if err == nil && change != "" && record.Change() == change {
				found = true
				if rejection == nil {
					accepted = next.Number()
				}
			}
			p.revision = next
		}
		if p.revision.Offset() >= extract.Head() {
			return found, accepted, nil
		}
	}
}
