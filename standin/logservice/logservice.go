// Package logservice simulates the platform's append-only log service.
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

// maxReadRecords is the largest number of records in one answer.
const maxReadRecords = 1000

// faults is the JSON form of the faults that a test injects.
type faults struct {
	Down        bool  `json:"down"`         // answer every call with 503
	LoseAnswers int   `json:"lose_answers"` // number of appends that take effect but get no answer
	SlowMillis  int64 `json:"slow_millis"`  // delay of each read in milliseconds
	Keep        int   `json:"keep"`         // number of newest records to retain; 0 retains all
}

// pendingRead is a read that waits for a record or, if delayed, for a fixed time.
type pendingRead struct {
	call    *httpserver.Call
	from    int64
	due     time.Time
	delayed bool
}

// Service stores the records and the reads that wait for them. Its methods
// run on the server's event loop.
type Service struct {
	first   int64 // offset of the oldest record
	records []json.RawMessage
	pending []pendingRead
	faults  faults
}

// New returns a Service with an empty log.
func New() *Service { return &Service{} }

// Start does nothing: the records survive a restart of the event loop.
func (s *Service) Start(time.Time) error { return nil }

// Handle answers a call, or keeps a read that has to wait.
func (s *Service) Handle(now time.Time, message any) error {
	call, ok := message.(*httpserver.Call)
	if !ok {
		return nil
	}
	path := string(call.Request().URI().Path())
	if path == "/faults" {
		s.setFaults(call)
		return nil
	}
	if s.faults.Down {
		server.ReplyStatus(call, fasthttp.StatusServiceUnavailable)
		return nil
	}
	switch path {
	case "/append":
		s.append(call)
	case "/read":
		s.read(now, call)
	default:
		server.ReplyStatus(call, fasthttp.StatusNotFound)
	}
	return nil
}

// Tick answers the reads whose wait has ended.
func (s *Service) Tick(now time.Time) error {
	var waiting []pendingRead
	for _, r := range s.pending {
		if now.Before(r.due) {
			waiting = append(waiting, r)
			continue
		}
		s.answer(r.call, r.from)
	}
	s.pending = waiting
	return nil
}

// Alarm returns the time at which the next pending read is due, or the zero time
// if there is none.
func (s *Service) Alarm() time.Time {
	var alarm time.Time
	for _, r := range s.pending {
		if alarm.IsZero() || r.due.Before(alarm) {
			alarm = r.due
		}
	}
	return alarm
}

func (s *Service) setFaults(call *httpserver.Call) {
	var requested faults
	if err := json.Unmarshal(call.Request().Body(), &requested); err != nil {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	s.faults = requested
	s.trim()
	server.ReplyStatus(call, fasthttp.StatusOK)
}

func (s *Service) append(call *httpserver.Call) {
	record := call.Request().Body()
	if !json.Valid(record) {
		server.ReplyStatus(call, fasthttp.StatusBadRequest)
		return
	}
	offset := s.head()
	s.records = append(s.records, append(json.RawMessage(nil), record...))
	s.trim()
	s.answerReady()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		call.Abort()
		return
	}
	server.ReplyJSON(call, fasthttp.StatusOK, struct {
		Offset int64 `json:"offset"`
	}{Offset: offset})
}

func (s *Service) read(now time.Time, call *httpserver.Call) {
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
	if s.faults.SlowMillis > 0 {
		delay := time.Duration(s.faults.SlowMillis) * time.Millisecond
		s.pending = append(s.pending, pendingRead{call: call, from: from, due: now.Add(delay), delayed: true})
		return
	}
	if from < s.head() || wait <= 0 {
		s.answer(call, from)
		return
	}
	s.pending = append(s.pending, pendingRead{call: call, from: from, due: now.Add(wait)})
}

// answerReady answers the reads for which a record has arrived. Delayed reads
// keep waiting.
func (s *Service) answerReady() {
	var waiting []pendingRead
	for _, r := range s.pending {
		if r.delayed || r.from >= s.head() {
			waiting = append(waiting, r)
			continue
		}
		s.answer(r.call, r.from)
	}
	s.pending = waiting
}

func (s *Service) answer(call *httpserver.Call, from int64) {
	config := logclient.ReadResultConfig{First: s.first, Head: s.head(), From: from}
	status := fasthttp.StatusOK
	if from < s.first {
		status = fasthttp.StatusGone
	} else if from < s.head() {
		records := s.records[from-s.first:]
		config.Records = records[:min(len(records), maxReadRecords)]
	}
	body, err := logclient.NewReadResult(config).Encode()
	if err != nil {
		server.ReplyStatus(call, fasthttp.StatusInternalServerError)
		return
	}
	server.ReplyJSON(call, status, json.RawMessage(body))
}

// head returns the offset of the next record.
func (s *Service) head() int64 { return s.first + int64(len(s.records)) }

// trim discards the oldest records beyond the number to retain.
func (s *Service) trim() {
	if s.faults.Keep > 0 && len(s.records) > s.faults.Keep {
		excess := len(s.records) - s.faults.Keep
		s.records = s.records[excess:]
		s.first += int64(excess)
	}
}
