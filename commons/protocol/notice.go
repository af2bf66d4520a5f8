// Package notice defines the messages that entries and sides exchange, and
// their encoding for net/rpc. Every message is immutable: it is built from its
// configuration struct and read through accessors.
package protocol

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// pack encodes a message as arrays of its fields in their order, so that field
// names are not sent.
func encode(name string, config any) ([]byte, error) {
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(config); err != nil {
		return nil, errors.Wrapf(err, "encode %s", name)
	}
	return data.Bytes(), nil
}

func decode(name string, data []byte, config any) error {
	return errors.Wrapf(msgpack.Unmarshal(data, config), "decode %s", name)
}

// Name of the side's service and of its methods in net/rpc.
const (
	SideService  = "Side"
	SubmitMethod = SideService + ".Submit"
	ReadMethod   = SideService + ".Read"
)

// Causes of refusals and failures, as they stand in receipts and pages.
const (
	CodeLeaving            = "leaving"              // the side takes no new work
	CodeQueueFull          = "queue_full"           // too many requests wait already
	CodeRestarted          = "side_restarted"       // the batch was meant for an earlier incarnation
	CodeWouldExpire        = "would_expire"         // the request would wait beyond its deadline
	CodeNotResident        = "model_not_resident"   // the backend server does not hold the model
	CodeSideOverloaded     = "side_overloaded"      // the side's ring is full
	CodeBackendUnreachable = "backend_unreachable"  // the backend server took no connection
	CodeAnswerCut          = "answer_cut"           // the backend server's answer ended too early
	CodeBackendSilent      = "backend_silent"       // the backend server stopped sending
	CodeAnswerTooLarge     = "answer_too_large"     // the answer outgrew its buffer
	CodeSideUnreachable    = "side_unreachable"     // the entry lost the side
	CodeDeadlineExceeded   = "deadline_exceeded"    // the request's time was over
	CodeNoBackend          = "no_backend_available" // no side serves the model or service
	CodeKeyWithdrawn       = "key_withdrawn"        // the request's key was withdrawn
	CodeNotCurrent         = "not_current"          // the process may not know the newest configuration
	CodeOutOfOrder         = "message_out_of_order" // a piece of the answer is missing
)
