// Package logclient is the client of the platform's append-only log service.
package logclient

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpclient"
)

// Errors of calls to the log service. After ErrOutcomeUnknown the record may or may
// not have been appended.
var (
	ErrUnavailable    = errors.New("log service is not available")
	ErrOutcomeUnknown = errors.New("log service did not say whether it appended the record")
	ErrTrimmed        = errors.New("log service no longer keeps the record at this offset")
)

// Entry is one record of the log with its offset.
type Entry struct {
	offset int64
	data   []byte
}

// Offset returns the offset of the record.
func (e Entry) Offset() int64 { return e.offset }

// Data returns the encoded record.
func (e Entry) Data() []byte { return e.data }

// ReadResultConfig holds the construction parameters of a ReadResult and is its
// JSON form.
type ReadResultConfig struct {
	First   int64             `json:"first"` // offset of the oldest record kept
	Head    int64             `json:"head"`  // offset of the next record to be appended
	From    int64             `json:"from"`  // offset of Records[0]
	Records []json.RawMessage `json:"records"`
}

// ReadResult is the result of a read: consecutive records and the bounds of the
// log.
type ReadResult struct {
	config ReadResultConfig
}

// NewReadResult returns a read result.
func NewReadResult(config ReadResultConfig) ReadResult { return ReadResult{config: config} }

// First returns the offset of the oldest record that the service keeps.
func (r ReadResult) First() int64 { return r.config.First }

// Head returns the offset of the next record to be appended.
func (r ReadResult) Head() int64 { return r.config.Head }

// Entries returns the records ordered by offset.
func (r ReadResult) Entries() []Entry {
	entries := make([]Entry, 0, len(r.config.Records))
	for i, record := range r.config.Records {
		entries = append(entries, Entry{offset: r.config.From + int64(i), data: record})
	}
	return entries
}

// Encode returns the JSON form of the result.
func (r ReadResult) Encode() ([]byte, error) { return json.Marshal(r.config) }

// Config holds the construction parameters of a Client.
type Config struct {
	Address string        // IP:port of the log service
	Timeout time.Duration // limit on a call, in addition to the wait of a long poll
}

// Client appends records to the log service and reads them.
type Client struct {
	config  Config
	reads   *httpclient.Client
	appends *httpclient.Client
}

// New returns a client of the log service.
func New(config Config) *Client {
	return &Client{
		config:  config,
		reads:   httpclient.New(httpclient.Config{Address: config.Address, MaxConns: maxReads}),
		appends: httpclient.New(httpclient.Config{Address: config.Address, MaxConns: maxAppends, MaxBody: maxReceipt}),
	}
}

const (
	maxReads   = 2       // open connections for reads: one thread of a process follows the log
	maxAppends = 3       // open connections for appends
	maxReceipt = 4 << 10 // bytes in the answer to an append
)

// Append appends a JSON record and returns its offset. It returns ErrUnavailable
// if the record was not appended, and ErrOutcomeUnknown if it may have been.
func (c *Client) Append(record []byte) (int64, error) {
	status, body, err := c.appends.Send(httpclient.NewRequest(httpclient.RequestConfig{Method: fasthttp.MethodPost, Path: "/append", Body: record, Timeout: c.config.Timeout}))
	if err != nil {
		return 0, errors.Mark(err, ErrOutcomeUnknown)
	}
	if status != fasthttp.StatusOK {
		return 0, errors.Wrapf(ErrUnavailable, "append: status %d", status)
	}
	var response struct {
		Offset int64 `json:"offset"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return 0, errors.Mark(errors.Wrap(err, "append"), ErrOutcomeUnknown)
	}
	return response.Offset, nil
}

// Read returns the records from the offset on and waits up to wait for the first
// of them. If the record at the offset is no longer kept, it returns ErrTrimmed
// and a result with the bounds of the log.
func (c *Client) Read(from int64, wait time.Duration) (ReadResult, error) {
	path := fmt.Sprintf("/read?from=%d&wait=%s", from, wait)
	status, body, err := c.reads.Send(httpclient.NewRequest(httpclient.RequestConfig{Method: fasthttp.MethodGet, Path: path, Timeout: wait + c.config.Timeout}))
	if err != nil {
		return ReadResult{}, errors.Mark(err, ErrUnavailable)
	}
	if status != fasthttp.StatusOK && status != fasthttp.StatusGone {
		return ReadResult{}, errors.Wrapf(ErrUnavailable, "read: status %d", status)
	}
	var result ReadResult
	if err := json.Unmarshal(body, &result.config); err != nil {
		return ReadResult{}, errors.Mark(err, ErrUnavailable)
	}
	if status == fasthttp.StatusGone {
		return result, errors.Wrapf(ErrTrimmed, "offset %d, oldest %d", from, result.config.First)
	}
	return result, nil
}
