// Package logkeeper is the stand-in for the platform's append-only log service.
package logservice

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/standin/server"
)

// maxRead is the number of records in one answer.
const maxReadRecords = 1000

// faults are the failures that a test has asked for.
type faults struct {
	Down        bool  `json:"down"`         // answers every call with 503
	LoseAnswers int   `json:"lose_answers"` // appends whose answer is dropped after they took effect
	SlowMillis  int64 `json:"slow_millis"`  // delay of each answer
	Keep        int   `json:"keep"`         // records kept; zero keeps all
}

// held is a call that waits for a record or for the end of a delay.
type pendingRead struct {
	call    *httpserver.Call
	from    int64
	due     time.Time
	delayed bool
}

// Keeper is responsible for the records and the calls that wait for them.
type Service struct {
	first   int64
	records []json.RawMessage
	pending []pendingRead
	faults  faults
}

// New returns an empty log.
func New() *Service { return &Service{} }

// Start does nothing: the records outlive a restart of the duty.
func (k *Service) Start(time.Time) error { return nil }

// Handle processes one call.
func (k *Service) Handle(now time.Time, message any) error {
	call, ok := message.(*httpserver.Call)
	if !ok {
		return nil
	}
	path := string(call.Request().URI().Path())
	if path == "/faults" {
		k.setFaults(call)
		return nil
	}
	if k.faults.Down {
		server.ReplyStatus(call, fasthttp.StatusServiceUnavailable)
		return nil
	}
	switch path {
	case "/append":
		k.append(call)
	case "/read":
		k.read(now, call)
	default:
		server.ReplyStatus(call, fasthttp.StatusNotFound)
	}
	return nil
}

// Tick answers the calls whose wait is over.
func (k *Service) Tick(now time.Time) error {
	var rest []pendingRead
	for _, h := range k.pending {
		if now.Before(h.due) {
			rest = append(rest, h)
			continue
		}
		k.answer(h.call, h.from)
	}
	k.pending = rest
	return nil
}

// Alarm returns the time at which the next held call is due.
func (k *Service) Alarm() time.Time {
	var alarm time.Time
	for _, h := range k.pending {
		if alarm.IsZero() || h.due.Before(alarm) {
			alarm = h.due
		}
	}
	return alarm
}

func (k *Service) setFaults(call *httpserver.Call) {
	var asked faults
	if err := json.Unmarshal(call.Request().Body(), &asked); err != nil {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	k.faults = asked
	k.trim()
	server.ReplyStatus(call, fasthttp.StatusOK)
}

func (k *Service) append(call *httpserver.Call) {
	record := call.Request().Body()
	if !json.Valid(record) {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	offset := k.head()
	k.records = append(k.records, append(json.RawMessage(nil), record...))
	k.trim()
	k.answerReady()
	if k.faults.LoseAnswers > 0 {
		k.faults.LoseAnswers--
		call.Abort()
		return
	}
	server.ReplyJSON(call, fasthttp.StatusOK, struct {
		Offset int64 `json:"offset"`
	}{Offset: offset})
}

func (k *Service) read(now time.Time, call *httpserver.Call) {
	query := call.Request().URI().QueryArgs()
	from, err := strconv.ParseInt(string(query.Peek("from")), 10, 64)
	if err != nil || from < 0 {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(string(query.Peek("wait")))
	if err != nil {
		wait = 0
	}
	if k.faults.SlowMillis > 0 {
		slow := time.Duration(k.faults.SlowMillis) * time.Millisecond
		k.pending = append(k.pending, pendingRead{call: call, from: from, due: now.Add(slow), delayed: true})
		return
	}
	if from < k.head() || wait <= 0 {
		k.answer(call, from)
		return
	}
	k.pending = append(k.pending, pendingRead{call: call, from: from, due: now.Add(wait)})
}

// release answers the calls for which a record has arrived.
func (k *Service) answerReady() {
	var rest []pendingRead
	for _, h := range k.pending {
		if h.delayed || h.from >= k.head() {
			rest = append(rest, h)
			continue
		}
		k.answer(h.call, h.from)
	}
	k.pending = rest
}

func (k *Service) answer(call *httpserver.Call, from int64) {
	config := logclient.ReadResultConfig{First: k.first, Head: k.head(), From: from}
	status := fasthttp.StatusOK
	if from < k.first {
		status = fasthttp.StatusGone
	} else if from < k.head() {
		records := k.records[from-k.first:]
		config.Records = records[:min(len(records), maxReadRecords)]
	}
	body, err := logclient.NewReadResult(config).Encode()
	if err != nil {
		server.ReplyStatus(call, fasthttp.StatusInternalServerError)
		return
	}
	server.ReplyJSON(call, status, json.RawMessage(body))
}

func (k *Service) head() int64 { return k.first + int64(len(k.records)) }

func (k *Service) trim() {
	if k.faults.Keep > 0 && len(k.records) > k.faults.Keep {
		excess := len(k.records) - k.faults.Keep
		k.records = k.records[excess:]
		k.first += int64(excess)
	}
}
