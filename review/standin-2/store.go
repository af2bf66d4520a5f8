package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRecord is one record of a keyed topic.
type storeRecord struct {
	offset int64
	key    string
	value  []byte
}

// store is a stand-in of the platform's store: keyed topics with one partition each.
type store struct {
	mu     sync.Mutex
	topics map[string][]storeRecord
	added  chan struct{} // closed and replaced with each append
}

func newStore() *store {
	return &store{topics: make(map[string][]storeRecord), added: make(chan struct{})}
}

// serve listens on an address until the process ends.
func (s *store) serve(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sesamewell/log-append", s.handleAppend)
	mux.HandleFunc("GET /sesamewell/log-read", s.handleRead)
	mux.HandleFunc("GET /sesamewell/log-newest", s.handleNewest)
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}

// put appends one record. A record without a value drops its key.
func (s *store) put(topic, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := int64(len(s.topics[topic]))
	s.topics[topic] = append(s.topics[topic], storeRecord{offset: offset, key: key, value: value})
	close(s.added)
	s.added = make(chan struct{})
	return offset
}

// putJSON appends one record with a JSON value.
func (s *store) putJSON(topic, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, encoded)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	first := int64(-1)
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		content := body[4:]
		if length > len(content) || length == 0 || length < 1+int(content[0]) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		record := content[:length]
		keyEnd := 1 + int(record[0])
		offset := s.put(topic, string(record[1:keyEnd]), append([]byte(nil), record[keyEnd:]...))
		if first < 0 {
			first = offset
		}
		body = content[length:]
	}
	s.mu.Lock()
	end := len(s.topics[topic])
	s.mu.Unlock()
	writeJSON(w, map[string]any{"offset": first, "end": end})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, added := s.topics[topic], s.added
		s.mu.Unlock()
		if from > int64(len(records)) {
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first":0}`)
			return
		}
		if from < int64(len(records)) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.key)+len(record.value)))
				out = append(out, byte(len(record.key)))
				out = append(out, record.key...)
				out = append(out, record.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-added:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	newest := make(map[string]storeRecord)
	for _, record := range records {
		newest[record.key] = record
		if len(record.value) == 0 {
			delete(newest, record.key)
		}
	}
	items := make([]map[string]any, 0, len(newest))
	for _, record := range newest {
		items = append(items, map[string]any{"key": record.key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": record.offset})
	}
	sort.Slice(items, func(a, b int) bool { return items[a]["key"].(string) < items[b]["key"].(string) })
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
