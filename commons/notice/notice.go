// Package notice defines the messages that entries and sides exchange, and
// their encoding for net/rpc. Every message is immutable: it is built from its
// configuration struct and read through accessors.
package notice

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

func pack(name string, config any) ([]byte, error) {
	data, err := msgpack.Marshal(config)
	return data, errors.Wrapf(err, "encode %s", name)
}

func unpack(name string, data []byte, config any) error {
	return errors.Wrapf(msgpack.Unmarshal(data, config), "decode %s", name)
}
