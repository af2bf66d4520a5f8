// Package logkeeper is the stand-in for the platform's append-only log service.
package logkeeper

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpserver"
	"sesamewell.example/commons/logclient"
	"sesamewell.example/standin/stage"
)

// maxRead is the number of records in one answer.
const maxRead = 1000

// faults are the failures that a test has asked for.
type faults struct {
	Down        bool  `json:"down"`         // answers every call with 503
	LoseAnswers int   `json:"lose_answers"` // appends whose answer is dropped after they took effect
	SlowMillis  int64 `json:"slow_millis"`  // delay of each answer
	Keep        int   `json:"keep"`         // records kept; zero keeps all
}

// held is a call that waits for a record or for the end of a delay.
type held struct {
	call  *httpserver.Call
	from  int64
	until time.Time
	slow  bool
}

// Keeper is responsible for the records and the calls that wait for them.
type Keeper struct {
	first   int64
	records []json.RawMessage
	held    []held
	faults  faults
}

// New returns an empty log.
func New() *Keeper { return &Keeper{} }

// Start does nothing: the records outlive a restart of the duty.
func (k *Keeper) Start(time.Time) error { return nil }

// Handle processes one call.
func (k *Keeper) Handle(now time.Time, message any) error {
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
		stage.ReplyStatus(call, fasthttp.StatusServiceUnavailable)
		return nil
	}
	switch path {
	case "/append":
		k.append(call)
	case "/read":
		k.read(now, call)
	default:
		stage.ReplyStatus(call, fasthttp.StatusNotFound)
	}
	return nil
}

// Tick answers the calls whose wait is over.
func (k *Keeper) Tick(now time.Time) error {
	var rest []held
	for _, h := range k.held {
		if now.Before(h.until) {
			rest = append(rest, h)
			continue
		}
		k.answer(h.call, h.from)
	}
	k.held = rest
	return nil
}

// Alarm returns the time at which the next held call is due.
func (k *Keeper) Alarm() time.Time {
	var alarm time.Time
	for _, h := range k.held {
		if alarm.IsZero() || h.until.Before(alarm) {
			alarm = h.until
		}
	}
	return alarm
}

func (k *Keeper) setFaults(call *httpserver.Call) {
	var asked faults
	if err := json.Unmarshal(call.Request().Body(), &asked); err != nil {
		stage.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	k.faults = asked
	k.trim()
	stage.ReplyStatus(call, fasthttp.StatusOK)
}

func (k *Keeper) append(call *httpserver.Call) {
	record := call.Request().Body()
	if !json.Valid(record) {
		stage.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	offset := k.head()
	k.records = append(k.records, append(json.RawMessage(nil), record...))
	k.trim()
	k.release()
	if k.faults.LoseAnswers > 0 {
		k.faults.LoseAnswers--
		call.Abort()
		return
	}
	stage.ReplyJSON(call, fasthttp.StatusOK, struct {
		Offset int64 `json:"offset"`
	}{Offset: offset})
}

func (k *Keeper) read(now time.Time, call *httpserver.Call) {
	query := call.Request().URI().QueryArgs()
	from, err := strconv.ParseInt(string(query.Peek("from")), 10, 64)
	if err != nil || from < 0 {
		stage.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(string(query.Peek("wait")))
	if err != nil {
		wait = 0
	}
	if k.faults.SlowMillis > 0 {
		slow := time.Duration(k.faults.SlowMillis) * time.Millisecond
		k.held = append(k.held, held{call: call, from: from, until: now.Add(slow), slow: true})
		return
	}
	if from < k.head() || wait <= 0 {
		k.answer(call, from)
		return
	}
	k.held = append(k.held, held{call: call, from: from, until: now.Add(wait)})
}

// release answers the calls for which a record has arrived.
func (k *Keeper) release() {
	var rest []held
	for _, h := range k.held {
		if h.slow || h.from >= k.head() {
			rest = append(rest, h)
			continue
		}
		k.answer(h.call, h.from)
	}
	k.held = rest
}

func (k *Keeper) answer(call *httpserver.Call, from int64) {
	config := logclient.ReadResultConfig{First: k.first, Head: k.head(), From: from}
	status := fasthttp.StatusOK
	if from < k.first {
		status = fasthttp.StatusGone
	} else if from < k.head() {
		records := k.records[from-k.first:]
		config.Records = records[:min(len(records), maxRead)]
	}
	body, err := logclient.NewReadResult(config).Encode()
	if err != nil {
		stage.ReplyStatus(call, fasthttp.StatusInternalServerError)
		return
	}
	stage.ReplyJSON(call, status, json.RawMessage(body))
}

func (k *Keeper) head() int64 { return k.first + int64(len(k.records)) }

func (k *Keeper) trim() {
	if k.faults.Keep > 0 && len(k.records) > k.faults.Keep {
		excess := len(k.records) - k.faults.Keep
		k.records = k.records[excess:]
		k.first += int64(excess)
	}
}
