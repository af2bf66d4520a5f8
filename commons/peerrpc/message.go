package peerrpc

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
)

// DefaultMaxMessage is the maximum size in bytes of one message of a peer without a limit
// of its own.
const DefaultMaxMessage = 4 << 20

const (
	maxDefinitions = 256 << 10 // bytes of type definitions on one connection, which its decoder keeps
	maxUintBytes   = 8         // bytes of an encoded integer after its first
)

// Errors of a message that is not read. The connection that brought it is closed.
var (
	ErrMessageTooLong = errors.New("message is longer than its limit")
	ErrNoRoom         = errors.New("messages of peers take as many bytes as they may")
	errMalformed      = errors.New("message is not in the encoding of gob")
)

// messageReader reads the gob messages of one connection, each of which begins with its
// length. It fails before the first byte of a message that is too long: a decoder keeps the
// whole message, of up to 1 GiB. Only one goroutine may use it.
type messageReader struct {
	buffered    *bufio.Reader
	maxMessage  int64
	admit       func(bytes int64) error // called with the size of each message before it is read, unless nil
	left        int64                   // bytes of the current message that are still to be read
	definitions int64                   // bytes of type definitions so far
}

func newMessageReader(from io.Reader, maxMessage int64, admit func(bytes int64) error) *messageReader {
	if maxMessage == 0 {
		maxMessage = DefaultMaxMessage
	}
	return &messageReader{buffered: bufio.NewReader(from), maxMessage: maxMessage, admit: admit}
}

// Read reads a part of the current message, or of the next one.
func (m *messageReader) Read(into []byte) (int, error) {
	if err := m.begin(); err != nil {
		return 0, err
	}
	n, err := m.buffered.Read(into[:min(int64(len(into)), m.left)])
	m.left -= int64(n)
	return n, err
}

// ReadByte reads one byte. With it the decoder needs no buffer of its own.
func (m *messageReader) ReadByte() (byte, error) {
	if err := m.begin(); err != nil {
		return 0, err
	}
	b, err := m.buffered.ReadByte()
	if err == nil {
		m.left--
	}
	return b, err
}

// begin looks at the start of the next message if the last one has been read.
func (m *messageReader) begin() error {
	if m.left > 0 {
		return nil
	}
	length, size, err := m.peekUint(0)
	if err != nil {
		return err
	}
	if length > uint64(m.maxMessage) {
		return errors.Wrapf(ErrMessageTooLong, "%d bytes", length)
	}
	total := int64(length) + int64(size)
	if length > 0 {
		if err := m.checkDefinition(size, total); err != nil {
			return err
		}
	}
	if m.admit != nil {
		if err := m.admit(total); err != nil {
			return err
		}
	}
	m.left = total
	return nil
}

// checkDefinition counts the message if it defines a type: its ID is negative, which the
// lowest bit of the encoded ID tells.
func (m *messageReader) checkDefinition(offset int, total int64) error {
	id, _, err := m.peekUint(offset)
	if err != nil {
		return unexpectedEnd(err)
	}
	if id&1 == 0 {
		return nil
	}
	if m.definitions += total; m.definitions > maxDefinitions {
		return errors.Wrap(ErrMessageTooLong, "definitions of types")
	}
	return nil
}

// peekUint decodes the unsigned integer at an offset without reading it. It returns the
// integer and its size in bytes. The error is io.EOF only before the first byte.
func (m *messageReader) peekUint(offset int) (value uint64, size int, err error) {
	first, err := m.buffered.Peek(offset + 1)
	if err != nil {
		return 0, 0, err
	}
	if first[offset] < 0x80 {
		return uint64(first[offset]), 1, nil
	}
	count := -int(int8(first[offset]))
	if count > maxUintBytes {
		return 0, 0, errMalformed
	}
	encoded, err := m.buffered.Peek(offset + 1 + count)
	if err != nil {
		return 0, 0, unexpectedEnd(err)
	}
	for _, b := range encoded[offset+1:] {
		value = value<<8 | uint64(b)
	}
	return value, 1 + count, nil
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
