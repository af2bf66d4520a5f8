// Package logbook is the client of the platform's append-only log service.
package logclient

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpclient"
)

// Errors of the log service. After ErrUnknown the record may be in the log.
var (
	ErrUnavailable    = errors.New("log service is not available")
	ErrOutcomeUnknown = errors.New("log service did not say whether it appended the record")
	ErrTrimmed        = errors.New("log service no longer keeps the record at this offset")
)

// Entry is one record with its offset.
type Entry struct {
	offset int64
	data   []byte
}

// Offset returns the record's offset.
func (e Entry) Offset() int64 { return e.offset }

// Data returns the record's bytes.
func (e Entry) Data() []byte { return e.data }

// ExtractConfig holds the construction parameters of an Extract and is its
// JSON form.
type ReadResultConfig struct {
	First   int64             `json:"first"` // offset of the oldest record kept
	Head    int64             `json:"head"`  // offset of the next record to be appended
	From    int64             `json:"from"`  // offset of Records[0]
	Records []json.RawMessage `json:"records"`
}

// Extract is a run of consecutive records together with the log's bounds.
type ReadResult struct {
	config ReadResultConfig
}

// NewExtract returns an extract.
func NewReadResult(config ReadResultConfig) ReadResult { return ReadResult{config: config} }

// First returns the offset of the oldest record that the service keeps.
func (e ReadResult) First() int64 { return e.config.First }

// Head returns the offset of the next record to be appended.
func (e ReadResult) Head() int64 { return e.config.Head }

// Entries returns the records in the order of their offsets.
func (e ReadResult) Entries() []Entry {
	entries := make([]Entry, 0, len(e.config.Records))
	for i, record := range e.config.Records {
		entries = append(entries, Entry{offset: e.config.From + int64(i), data: record})
	}
	return entries
}

// Encode returns the extract's JSON form.
func (e ReadResult) Encode() ([]byte, error) { return json.Marshal(e.config) }

// Config holds the construction parameters of a Client.
type Config struct {
	Address string        // IP:port of the log service
	Timeout time.Duration // limit on a call, beyond the wait of a long poll
}

// Client is responsible for appends to and reads from the log service.
type Client struct {
	config Config
	http   *httpclient.Client
}

// New returns a client.
func New(config Config) *Client {
	return &Client{config: config, http: httpclient.New(httpclient.Config{Address: config.Address, MaxConns: maxConnections})}
}

// maxConns bounds the open connections to the log service.
const maxConnections = 4

// Append adds a JSON record and returns its offset. It returns ErrUnavailable
// when the record was not appended, and ErrUnknown when it may have been.
func (c *Client) Append(record []byte) (int64, error) {
	status, body, err := c.http.Send(httpclient.NewRequest(httpclient.RequestConfig{Method: fasthttp.MethodPost, Path: "/append", Body: record, Timeout: c.config.Timeout}))
	if err != nil {
		return 0, errors.Mark(err, ErrOutcomeUnknown)
	}
	if status != fasthttp.StatusOK {
		return 0, errors.Wrapf(ErrUnavailable, "append: status %d", status)
	}
	var answer struct {
		Offset int64 `json:"offset"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, errors.Mark(errors.Wrap(err, "append"), ErrOutcomeUnknown)
	}
	return answer.Offset, nil
}

// Read returns the records from an offset on, waiting up to wait for the first
// of them. It returns ErrTrimmed together with the log's bounds when the
// offset lies before the oldest record kept.
func (c *Client) Read(from int64, wait time.Duration) (ReadResult, error) {
	path := fmt.Sprintf("/read?from=%d&wait=%s", from, wait)
	status, body, err := c.http.Send(httpclient.NewRequest(httpclient.RequestConfig{Method: fasthttp.MethodGet, Path: path, Timeout: wait + c.config.Timeout}))
	if err != nil {
		return ReadResult{}, errors.Mark(err, ErrUnavailable)
	}
	if status != fasthttp.StatusOK && status != fasthttp.StatusGone {
		return ReadResult{}, errors.Wrapf(ErrUnavailable, "read: status %d", status)
	}
	var extract ReadResult
	if err := json.Unmarshal(body, &extract.config); err != nil {
		return ReadResult{}, errors.Mark(err, ErrUnavailable)
	}
	if status == fasthttp.StatusGone {
		return extract, errors.Wrapf(ErrTrimmed, "offset %d, oldest %d", from, extract.config.First)
	}
	return extract, nil
}
