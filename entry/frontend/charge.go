package frontend

import (
	"bytes"
	"encoding/json"
)

// maxEventLine bounds the part of an event's line that is kept between two
// pieces of a stream.
const maxLineBytes = 64 << 10

var (
	dataPrefix = []byte("data:")
	streamEnd  = []byte("[DONE]")
	usageKey   = []byte(`"completion_tokens"`)
)

// usage is the part of an answer in which an engine counts its tokens.
type usageReport struct {
	Usage *struct {
		Completion int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// charge is responsible for the tokens that were charged for one request, and
// for counting those that its answer used.
type tokenUsage struct {
	charged  int64 // prompt and maximum output
	prompt   int64
	streamed int64 // events of the stream, each of one token
	reported int64 // by the engine; it goes before generated
	line     []byte
}

// read counts the tokens of the next piece of a streamed answer.
func (c *tokenUsage) countStream(data []byte) {
	for {
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		if room := maxLineBytes - len(c.line); len(line) > room {
			line = line[:room]
		}
		c.line = append(c.line, line...)
		if !ended {
			return
		}
		c.countEvent(bytes.TrimSpace(c.line))
		c.line, data = c.line[:0], rest
	}
}

func (c *tokenUsage) countEvent(line []byte) {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok || bytes.Equal(bytes.TrimSpace(data), streamEnd) {
		return
	}
	c.streamed++
	if bytes.Contains(data, usageKey) {
		c.readReport(data)
	}
}

// count takes the engine's own count from an answer or an event and reports
// whether there is one.
func (c *tokenUsage) readReport(data []byte) bool {
	var answer usageReport
	if err := json.Unmarshal(data, &answer); err != nil || answer.Usage == nil {
		return false
	}
	c.reported = answer.Usage.Completion
	return true
}

// unused returns the tokens that a whole stream left over.
func (c *tokenUsage) unusedByStream() int64 {
	used := c.streamed
	if c.reported > 0 {
		used = c.reported
	}
	return max(c.charged-c.prompt-used, 0)
}

// unusedOf returns the tokens that a whole answer left over: none if it does
// not say how many it used.
func (c *tokenUsage) unusedByBody(body []byte) int64 {
	if c.charged == 0 || !c.readReport(body) {
		return 0
	}
	return max(c.charged-c.prompt-c.reported, 0)
}
