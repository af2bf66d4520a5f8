package main

import (
	"bytes"
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

// Topics of the store that the operator and the backend servers write.
const (
	operatorTopic = "keyed.op"
	serverTopic   = "keyed.servers"
)

// maxPage is the largest number of bytes of records in one answer to log-read.
const maxPage = 1 << 20

// store is a stand-in for the platform's metadata store: topics with keys and one partition.
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	topics  map[string][]entry
	server  *http.Server
	address string
}

// entry is one record of a topic with keys.
type entry struct {
	key   string
	value []byte
}

func newStore(ip string) (*store, error) {
	s := &store{topics: make(map[string][]entry)}
	s.changed = sync.NewCond(&s.mu)
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sesamewell/log-append", s.append)
	mux.HandleFunc("GET /sesamewell/log-read", s.read)
	mux.HandleFunc("GET /sesamewell/log-newest", s.newest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a record as the operator or a backend server does. An empty value removes the
// key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], entry{key: key, value: value})
	s.changed.Broadcast()
}

// putJSON writes a record with a JSON value.
func (s *store) putJSON(topic, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.put(topic, key, text)
	return nil
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == operatorTopic || topic == serverTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || 4+n > len(body) || 1+int(body[4]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := body[4 : 4+n]
		keyEnd := 1 + int(content[0])
		s.topics[topic] = append(s.topics[topic], entry{key: string(content[1:keyEnd]), value: bytes.Clone(content[keyEnd:])})
		body = body[4+n:]
	}
	s.changed.Broadcast()
	writeJSON(w, map[string]any{"offset": offset, "end": len(s.topics[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(deadline), func() { s.mu.Lock(); s.changed.Broadcast(); s.mu.Unlock() })
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.topics[topic]) == from && time.Now().Before(deadline) && r.Context().Err() == nil {
		s.changed.Wait()
	}
	records := s.topics[topic]
	if from > len(records) {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]any{"first": 0})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, e := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
		out = append(out, byte(len(e.key)))
		out = append(out, e.key...)
		out = append(out, e.value...)
		if len(out) > maxPage {
			break
		}
	}
	_, _ = w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := make(map[string]item)
	for offset, e := range s.topics[topic] {
		if len(e.value) == 0 {
			delete(newest, e.key)
			continue
		}
		newest[e.key] = item{Key: e.key, Value: base64.StdEncoding.EncodeToString(e.value), Offset: offset}
	}
	items := make([]item, 0, len(newest))
	for key, i := range newest {
		if key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end": len(s.topics[topic])})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
