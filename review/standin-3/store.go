package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: topics with keys, of one partition each.
type store struct {
	address string

	mu     sync.Mutex
	topics map[string]*topic
	era    int64
	away   bool // it answers all calls with 503
	change chan struct{}
}

type topic struct{ records []keyed }

type keyed struct {
	key   string
	value []byte
}

// newStore returns a store that serves at an address.
func newStore(address string) (*store, error) {
	s := &store{address: address, topics: make(map[string]*topic), era: 1, change: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /sesamewell/log-newest", s.serveNewest)
	mux.HandleFunc("GET /sesamewell/log-read", s.serveRead)
	mux.HandleFunc("POST /sesamewell/log-append", s.serveAppend)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(listener, handler) }()
	return s, nil
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

func (s *store) wake() {
	close(s.change)
	s.change = make(chan struct{})
}

// put appends a record, or the removal of a key if value is empty. It reports whether the store
// is there.
func (s *store) put(name, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	t := s.topic(name)
	t.records = append(t.records, keyed{key: key, value: value})
	s.wake()
	return true
}

// snapshot returns a copy of the store's content.
func (s *store) snapshot() map[string]*topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[string]*topic)
	for name, t := range s.topics {
		kept[name] = &topic{records: slices.Clone(t.records)}
	}
	return kept
}

// goAway makes the store refuse all calls.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// restore brings the store back with an earlier content.
func (s *store) restore(kept map[string]*topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics, s.away = kept, false
	s.era++
	s.wake()
}

// newest returns the newest value of each key of a topic.
func (s *store) newest(name string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string][]byte)
	for _, r := range s.topic(name).records {
		values[r.key] = r.value
		if len(r.value) == 0 {
			delete(values, r.key)
		}
	}
	return values
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	answer := struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		End   int    `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	newest := make(map[string]item)
	records := s.topic(r.URL.Query().Get("topic")).records
	for offset, k := range records {
		newest[k.key] = item{Key: k.key, Value: base64.StdEncoding.EncodeToString(k.value), Offset: offset}
		if len(k.value) == 0 {
			delete(newest, k.key)
		}
	}
	answer.End = len(records)
	s.mu.Unlock()
	after := r.URL.Query().Get("after")
	for _, i := range newest {
		if i.Key > after {
			answer.Items = append(answer.Items, i)
		}
	}
	slices.SortFunc(answer.Items, func(a, b item) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	if len(answer.Items) > 500 {
		answer.Items, answer.More = answer.Items[:500], true
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for expired := wait == 0; ; {
		s.mu.Lock()
		era, away, change := s.era, s.away, s.change
		records := s.topic(query.Get("topic")).records
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from > len(records):
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first":0}`)
			return
		case from < len(records) || expired:
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, k := range records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(k.key)+len(k.value)))
				body = append(body, byte(len(k.key)))
				body = append(append(body, k.key...), k.value...)
			}
			_, _ = w.Write(body)
			return
		}
		select {
		case <-change:
		case <-deadline:
			expired = true
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t := s.topic(name)
	first := len(t.records)
	for len(body) >= 5 {
		length := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+length]
		keyEnd := 1 + int(content[0])
		t.records = append(t.records, keyed{key: string(content[1:keyEnd]), value: slices.Clone(content[keyEnd:])})
		body = body[4+length:]
	}
	end, era := len(t.records), s.era
	s.wake()
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, first, end)
}
