package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store. It keeps keyed topics with one
// partition each.
type store struct {
	server *http.Server
	addr   string

	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{} // closed and replaced by each append
}

type storeRecord struct {
	key   string
	value []byte
}

func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: listener.Addr().String(), topics: make(map[string][]storeRecord), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sesamewell/log-append", s.append)
	mux.HandleFunc("GET /sesamewell/log-read", s.read)
	mux.HandleFunc("GET /sesamewell/log-newest", s.newest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put appends a record. An empty value removes the key.
func (s *store) put(topic, key string, value []byte) (offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) putJSON(topic, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, encoded)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	topic := r.URL.Query().Get("topic")
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	offset := -1
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || len(body) < 4+n || 1+int(body[4]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := body[4 : 4+n]
		end := 1 + int(content[0])
		at := s.put(topic, string(content[1:end]), append([]byte(nil), content[end:]...))
		if offset < 0 {
			offset = at
		}
		body = body[4+n:]
	}
	s.writeJSON(w, map[string]any{"offset": offset, "end": s.end(topic)})
}

func (s *store) end(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topics[topic])
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[query.Get("topic")], s.changed
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			s.writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) writeRecords(w http.ResponseWriter, records []storeRecord, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range records[min(from, len(records)):] {
		content := append([]byte{byte(len(record.key))}, record.key...)
		content = append(content, record.value...)
		out = binary.BigEndian.AppendUint32(out, uint32(len(content)))
		out = append(out, content...)
	}
	_, _ = w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	last := make(map[string]int)
	for i, record := range records {
		last[record.key] = i
	}
	items := make([]map[string]any, 0, len(last))
	for i, record := range records {
		if last[record.key] == i && len(record.value) > 0 {
			items = append(items, map[string]any{"key": record.key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": i})
		}
	}
	end := len(records)
	s.mu.Unlock()
	s.writeJSON(w, map[string]any{"items": items, "has_more": false, "end": end})
}

func (s *store) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
