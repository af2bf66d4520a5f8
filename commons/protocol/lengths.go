package protocol

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// errLength is returned for a message that is shorter than its lengths say.
var errLength = errors.New("message is shorter than the lengths in it")

// checkLengths returns errLength if an array, a map or a text in a msgpack message is
// longer than what is left of the message. Each element has one byte at least.
func checkLengths(data []byte) error {
	for elements := uint64(1); elements > 0; {
		if uint64(len(data)) < elements {
			return errLength
		}
		head := readHead(data)
		skipped := head.size + head.content
		if head.size == 0 || uint64(len(data)) < skipped {
			return errLength
		}
		data = data[skipped:]
		elements += head.elements - 1
	}
	return nil
}

// head is the start of an element.
type head struct {
	size     uint64 // bytes of its type and length; zero if the message ends in them
	content  uint64 // bytes that follow
	elements uint64 // elements that follow
}

// readHead decodes the start of the first element of a message.
func readHead(data []byte) head {
	code := data[0]
	switch {
	case msgpcode.IsFixedMap(code):
		return head{size: 1, elements: 2 * uint64(code&msgpcode.FixedMapMask)}
	case msgpcode.IsFixedArray(code):
		return head{size: 1, elements: uint64(code & msgpcode.FixedArrayMask)}
	case msgpcode.IsFixedString(code):
		return head{size: 1, content: uint64(code & msgpcode.FixedStrMask)}
	}
	switch code {
	case msgpcode.Uint8, msgpcode.Int8:
		return head{size: 1, content: 1}
	case msgpcode.Uint16, msgpcode.Int16, msgpcode.FixExt1:
		return head{size: 1, content: 2}
	case msgpcode.FixExt2:
		return head{size: 1, content: 3}
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return head{size: 1, content: 4}
	case msgpcode.FixExt4:
		return head{size: 1, content: 5}
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return head{size: 1, content: 8}
	case msgpcode.FixExt8:
		return head{size: 1, content: 9}
	case msgpcode.FixExt16:
		return head{size: 1, content: 17}
	case msgpcode.Str8, msgpcode.Bin8:
		return withLength(data, 1, func(n uint64) head { return head{content: n} })
	case msgpcode.Str16, msgpcode.Bin16:
		return withLength(data, 2, func(n uint64) head { return head{content: n} })
	case msgpcode.Str32, msgpcode.Bin32:
		return withLength(data, 4, func(n uint64) head { return head{content: n} })
	case msgpcode.Ext8:
		return withLength(data, 1, func(n uint64) head { return head{content: n + 1} })
	case msgpcode.Ext16:
		return withLength(data, 2, func(n uint64) head { return head{content: n + 1} })
	case msgpcode.Ext32:
		return withLength(data, 4, func(n uint64) head { return head{content: n + 1} })
	case msgpcode.Array16:
		return withLength(data, 2, func(n uint64) head { return head{elements: n} })
	case msgpcode.Array32:
		return withLength(data, 4, func(n uint64) head { return head{elements: n} })
	case msgpcode.Map16:
		return withLength(data, 2, func(n uint64) head { return head{elements: 2 * n} })
	case msgpcode.Map32:
		return withLength(data, 4, func(n uint64) head { return head{elements: 2 * n} })
	}
	return head{size: 1} // a small number, a boolean or nil
}

// withLength returns the head whose length follows its type in the given number of bytes.
func withLength(data []byte, width int, of func(length uint64) head) head {
	if len(data) < 1+width {
		return head{}
	}
	var padded [8]byte
	copy(padded[len(padded)-width:], data[1:])
	h := of(binary.BigEndian.Uint64(padded[:]))
	h.size = uint64(1 + width)
	return h
}
