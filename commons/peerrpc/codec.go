package peerrpc

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/memory"
)

// maxCalls is the maximum number of calls of one connection that run at once. Further ones
// are read when one of them has been answered.
const maxCalls = 64

// maxHeader is the maximum size in bytes of the start of a call, which names its method.
const maxHeader = 4 << 10

// messagesRefused counts the connections that were closed for a message.
var messagesRefused = metrics.NewCounter(`sesamewell_link_messages_refused_total`)

// serverCodec reads the calls of one connection and writes the replies, in the encoding of
// net/rpc. It bounds what the peer can make this process hold: the size of a message, the
// calls that run at once, and, by the account, the bytes of all calls until they are
// answered.
type serverCodec struct {
	conn    net.Conn
	peer    string // host of the peer, for the account
	account *memory.Budget
	log     *logrus.Entry
	reader  *messageReader
	body    int64 // maximum size of the argument of a call in bytes
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	calls   chan struct{} // one element for each call that is being read or runs
	current uint64        // number of the call that is being read

	mu     sync.Mutex
	read   int64            // bytes of the call that is being read
	held   map[uint64]int64 // bytes of the calls that run, by their number
	closed bool
}

func newServerCodec(conn net.Conn, config ServerConfig, account *memory.Budget) *serverCodec {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		host = conn.RemoteAddr().String()
	}
	buffer := bufio.NewWriter(conn)
	c := &serverCodec{
		conn: conn, peer: host, account: account, log: config.Log,
		encoder: gob.NewEncoder(buffer), buffer: buffer,
		calls: make(chan struct{}, maxCalls), held: make(map[uint64]int64),
	}
	c.reader = newMessageReader(conn, config.MaxMessage, c.admit)
	c.body = c.reader.maxMessage
	c.decoder = gob.NewDecoder(c.reader)
	return c
}

// admit charges the account with a message that is about to be read.
func (c *serverCodec) admit(bytes int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.account.Admit(c.peer, bytes) {
		return errors.Wrapf(ErrNoRoom, "message of %d bytes", bytes)
	}
	c.read += bytes
	return nil
}

// ReadRequestHeader reads the start of the next call. It waits while as many calls run as
// may.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	c.calls <- struct{}{}
	c.reader.maxMessage = min(maxHeader, c.body)
	if err := c.decode(request); err != nil {
		<-c.calls
		return err
	}
	c.current = request.Seq
	return nil
}

// ReadRequestBody reads the argument of the call, and drops it if body is nil.
func (c *serverCodec) ReadRequestBody(body any) error {
	c.reader.maxMessage = c.body
	err := c.decode(body)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[c.current] += c.read
	c.read = 0
	return err
}

func (c *serverCodec) decode(into any) error {
	err := c.decoder.Decode(into)
	if errors.IsAny(err, ErrMessageTooLong, ErrNoRoom) {
		messagesRefused.Inc()
		c.log.WithFields(logrus.Fields{"event": "message_refused", "peer": c.conn.RemoteAddr()}).WithError(err).Warn("connection of a peer closed for its message")
		_ = c.Close() // at once: after a response the peer would send its next call here
	}
	return err
}

// WriteResponse writes the reply to a call.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	defer c.answered(response.Seq)
	err := c.encoder.Encode(response)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		err = errors.CombineErrors(err, c.Close())
	}
	return err
}

// answered gives back what a call holds.
func (c *serverCodec) answered(number uint64) {
	<-c.calls
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Release(c.peer, c.held[number])
	delete(c.held, number)
}

// Close closes the connection. What the call that was being read holds is given back.
func (c *serverCodec) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	return c.conn.Close()
}

// end gives back all that is still held after the last call has been answered.
func (c *serverCodec) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, bytes := range c.held {
		c.account.Release(c.peer, bytes)
		delete(c.held, number)
	}
	c.account.Release(c.peer, c.read)
	c.read = 0
}

// limitedConn is the connection of a client. It reads no reply that is too long.
type limitedConn struct {
	*messageReader
	io.WriteCloser
}
