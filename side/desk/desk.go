// Package desk receives the calls of entries: the net/rpc front end of a side.
// Each call is handed to the hall's ring at once and waits for its answer.
package desk

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/ring"
	"sesamewell.example/side/hall"
)

// answerLimit bounds the wait for the hall beyond a read's own wait.
const answerLimit = 20 * time.Second

// ErrBusy means that the hall's ring is full; nothing was taken.
var ErrBusy = errors.New(notice.CodeBusy)

// Hall is the part of the hall that the desk uses.
type Hall interface {
	Put(message hall.Message) error
}

// Desk is responsible for the methods that other processes call.
type Desk struct {
	hall Hall
}

// New returns a desk before a hall.
func New(hall Hall) *Desk { return &Desk{hall: hall} }

// Submit takes new attempts and cancellations.
func (d *Desk) Submit(batch notice.Batch, receipts *notice.Receipts) error {
	answer, err := d.ask(func(reply *ring.Ring) hall.Message { return hall.NewBatchArrived(batch, reply) })
	if err != nil {
		return err
	}
	*receipts = answer.(notice.Receipts)
	return nil
}

// Read waits for the next pieces of answers.
func (d *Desk) Read(read notice.Read, pages *notice.Pages) error {
	answer, err := d.ask(func(reply *ring.Ring) hall.Message { return hall.NewReadArrived(read, reply) })
	if err != nil {
		return err
	}
	*pages = answer.(notice.Pages)
	return nil
}

func (d *Desk) ask(message func(reply *ring.Ring) hall.Message) (any, error) {
	reply := ring.New(ring.Config{Name: "reply", Capacity: 1})
	if err := d.hall.Put(message(reply)); err != nil {
		return nil, ErrBusy
	}
	answer, err := reply.TakeWithin(context.Background(), answerLimit)
	if err != nil {
		return nil, err
	}
	if answer == nil {
		return nil, errors.New("the side did not answer in time")
	}
	return answer, nil
}
