// Package protocol defines the messages that the fleet's processes exchange over
// net/rpc, and their encoding. Messages are immutable: each is built from its
// configuration struct and read through accessors.
package protocol

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// encode encodes a struct as a msgpack array of its fields in declaration order,
// so that field names are not sent. Name is the message's name in errors.
func encode(name string, config any) ([]byte, error) {
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true)
	if err := encoder.Encode(config); err != nil {
		return nil, errors.Wrapf(err, "encode %s", name)
	}
	return data.Bytes(), nil
}

// decode decodes what encode wrote. A message that announces more elements than it has
// bytes fails before room is made for them.
func decode(name string, data []byte, config any) error {
	if err := checkLengths(data); err != nil {
		return errors.Wrapf(err, "decode %s", name)
	}
	return errors.Wrapf(msgpack.Unmarshal(data, config), "decode %s", name)
}

// Names in net/rpc of a side's service and of its methods.
const (
	SideService  = "Side"
	SubmitMethod = SideService + ".Submit"
	ReadMethod   = SideService + ".Read"
)

// Codes for the cause of a refusal or failure, as receipts and pages carry them.
const (
	CodeDraining           = "leaving"              // the side is draining and accepts no new attempts
	CodeQueueFull          = "queue_full"           // the side's queue is full
	CodeRestarted          = "side_restarted"       // the batch was addressed to an earlier incarnation of the side
	CodeWouldExpire        = "would_expire"         // the request's deadline would pass while it is queued
	CodeNotResident        = "model_not_resident"   // the backend server does not hold the model
	CodeSideOverloaded     = "side_overloaded"      // the ring to the side's dispatcher is full
	CodeBackendUnreachable = "backend_unreachable"  // the backend server did not accept a connection
	CodeAnswerCut          = "answer_cut"           // the backend server's answer was truncated
	CodeBackendSilent      = "backend_silent"       // the backend server sent nothing within the time limit
	CodeAnswerTooLarge     = "answer_too_large"     // the answer exceeds the side's buffer
	CodeSideUnreachable    = "side_unreachable"     // the entry lost contact with the side
	CodeDeadlineExceeded   = "deadline_exceeded"    // the request's deadline passed
	CodeNoBackend          = "no_backend_available" // no side serves the model or service
	CodeKeyWithdrawn       = "key_withdrawn"        // the request's API key was withdrawn
	CodeNotCurrent         = "not_current"          // the process cannot prove that its configuration is current
	CodeOutOfOrder         = "message_out_of_order" // part of the answer is missing
)
