package gate

import (
	"bytes"
	"encoding/json"
)

// maxEventLine bounds the part of an event's line that is kept between two
// pieces of a stream.
const maxEventLine = 64 << 10

var (
	eventPrefix = []byte("data:")
	eventEnd    = []byte("[DONE]")
	usageKey    = []byte(`"completion_tokens"`)
)

// usage is the part of an answer in which an engine counts its tokens.
type usage struct {
	Usage *struct {
		Completion int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// charge is responsible for the tokens that were charged for one request, and
// for counting those that its answer used.
type charge struct {
	tokens    int64 // prompt and maximum output
	prompt    int64
	generated int64 // events of the stream, each of one token
	counted   int64 // by the engine; it goes before generated
	line      []byte
}

// read counts the tokens of the next piece of a streamed answer.
func (c *charge) read(data []byte) {
	for {
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		if room := maxEventLine - len(c.line); len(line) > room {
			line = line[:room]
		}
		c.line = append(c.line, line...)
		if !ended {
			return
		}
		c.event(bytes.TrimSpace(c.line))
		c.line, data = c.line[:0], rest
	}
}

func (c *charge) event(line []byte) {
	data, ok := bytes.CutPrefix(line, eventPrefix)
	if !ok || bytes.Equal(bytes.TrimSpace(data), eventEnd) {
		return
	}
	c.generated++
	if bytes.Contains(data, usageKey) {
		c.count(data)
	}
}

// count takes the engine's own count from an answer or an event and reports
// whether there is one.
func (c *charge) count(data []byte) bool {
	var answer usage
	if err := json.Unmarshal(data, &answer); err != nil || answer.Usage == nil {
		return false
	}
	c.counted = answer.Usage.Completion
	return true
}

// unused returns the tokens that a whole stream left over.
func (c *charge) unused() int64 {
	used := c.generated
	if c.counted > 0 {
		used = c.counted
	}
	return max(c.tokens-c.prompt-used, 0)
}

// unusedOf returns the tokens that a whole answer left over: none if it does
// not say how many it used.
func (c *charge) unusedOf(body []byte) int64 {
	if c.tokens == 0 || !c.count(body) {
		return 0
	}
	return max(c.tokens-c.prompt-c.counted, 0)
}
