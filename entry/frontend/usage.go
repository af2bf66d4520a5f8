package frontend

import (
	"bytes"
	"encoding/json"
)

// maxLineBytes is the maximum number of bytes that are kept of a line of a stream.
const maxLineBytes = 64 << 10

var (
	dataPrefix = []byte("data:")
	streamEnd  = []byte("[DONE]")
	usageKey   = []byte(`"completion_tokens"`)
)

// usageReport is the part of an answer in which an engine reports its token counts.
type usageReport struct {
	Usage *struct {
		Completion int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// tokenUsage holds the tokens that a request was charged for and counts those that
// its answer used.
type tokenUsage struct {
	charged  int64 // tokens of the prompt and the maximum output
	prompt   int64
	streamed int64 // events of the stream, which carry one token each
	reported int64 // output tokens that the engine reported, which take precedence over streamed
	line     []byte
}

// countStream counts the tokens of the next part of a streamed answer.
func (u *tokenUsage) countStream(data []byte) {
	for {
		line, rest, ended := bytes.Cut(data, []byte("\n"))
		if room := maxLineBytes - len(u.line); len(line) > room {
			line = line[:room]
		}
		u.line = append(u.line, line...)
		if !ended {
			return
		}
		u.countEvent(bytes.TrimSpace(u.line))
		u.line, data = u.line[:0], rest
	}
}

func (u *tokenUsage) countEvent(line []byte) {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok || bytes.Equal(bytes.TrimSpace(data), streamEnd) {
		return
	}
	u.streamed++
	if bytes.Contains(data, usageKey) {
		u.readReport(data)
	}
}

// readReport reads the engine's token count from an answer or an event and reports
// whether there is one.
func (u *tokenUsage) readReport(data []byte) bool {
	var report usageReport
	if err := json.Unmarshal(data, &report); err != nil || report.Usage == nil {
		return false
	}
	u.reported = report.Usage.Completion
	return true
}

// unusedByStream returns the charged tokens that a complete stream did not use.
func (u *tokenUsage) unusedByStream() int64 {
	used := u.streamed
	if u.reported > 0 {
		used = u.reported
	}
	return max(u.charged-u.prompt-used, 0)
}

// unusedByBody returns the charged tokens that a complete answer did not use. It
// returns zero if the answer does not report its usage.
func (u *tokenUsage) unusedByBody(body []byte) int64 {
	if u.charged == 0 || !u.readReport(body) {
		return 0
	}
	return max(u.charged-u.prompt-u.reported, 0)
}
