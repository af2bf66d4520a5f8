package main

import (
	"bufio"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/deployment"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/lobby/discovery"
	"sesamewell.example/platform"
)

// operatorStore is a fake of the platform's store to whose topics records can be appended
// while lobbies read them.
type operatorStore struct {
	mu       sync.Mutex
	topics   map[string][]storeRecord // by offset
	appended chan struct{}            // closed by the next append
	shared   atomic.Bool              // it keeps the records of lobbies too, which then find each other, and states its era
	down     atomic.Bool              // all calls fail
}

// storeRecord is a record of a topic with keys.
type storeRecord struct{ key, value string }

// newOperatorStore starts a store with a configuration and a list of backend servers. It
// returns the store and its address.
func newOperatorStore(t *testing.T, config string, backends map[string]string) (*operatorStore, string) {
	t.Helper()
	s := &operatorStore{topics: make(map[string][]storeRecord), appended: make(chan struct{})}
	s.set("config", config)
	for id, value := range backends {
		s.append(platform.BackendTopic, storeRecord{key: id, value: value})
	}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, strings.TrimPrefix(server.URL, "http://")
}

// set appends a record of the operator.
func (s *operatorStore) set(key, value string) {
	s.append(platform.ConfigurationTopic, storeRecord{key: key, value: value})
}

// append appends records to a topic and returns the offset of the first.
func (s *operatorStore) append(topic string, records ...storeRecord) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// since returns the records of a topic from an offset on as the store encodes them, and a
// channel that is closed by the next append.
func (s *operatorStore) since(topic string, from int) (page []byte, appended chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[topic]
	page = binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	page = binary.BigEndian.AppendUint64(page, 0)
	for _, record := range records[min(from, len(records)):] {
		content := string([]byte{byte(len(record.key))}) + record.key + record.value
		page = append(binary.BigEndian.AppendUint32(page, uint32(len(content))), content...)
	}
	return page, s.appended
}

// newest returns the newest record of each key of a topic that has a value, as the store
// encodes it.
func (s *operatorStore) newest(topic string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := make(map[string]string)
	for offset, record := range s.topics[topic] {
		items[record.key] = fmt.Sprintf(`{"key":%q,"value":%q,"offset":%d}`, record.key, base64.StdEncoding.EncodeToString([]byte(record.value)), offset)
		if record.value == "" {
			delete(items, record.key)
		}
	}
	return fmt.Sprintf(`{"items":[%s],"end":%d}`, strings.Join(slices.Collect(maps.Values(items)), ","), len(s.topics[topic]))
}

func (s *operatorStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if s.shared.Load() {
		w.Header().Set("Store-Era", "1")
	}
	switch {
	case strings.HasSuffix(r.URL.Path, "log-read"):
		s.serveRead(w, r)
	case strings.HasSuffix(r.URL.Path, "log-newest"):
		_, _ = io.WriteString(w, s.newest(r.URL.Query().Get("topic")))
	default:
		s.serveAppend(w, r)
	}
}

// serveRead answers a long poll of a topic.
func (s *operatorStore) serveRead(w http.ResponseWriter, r *http.Request) {
	const maxWait = 200 * time.Millisecond
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(query.Get("wait_ms") + "ms") // zero if it is not given
	page, appended := s.since(query.Get("topic"), from)
	if len(page) == 16 {
		select {
		case <-appended:
		case <-r.Context().Done():
		case <-time.After(min(wait, maxWait)):
		}
		page, _ = s.since(query.Get("topic"), from)
	}
	_, _ = w.Write(page)
}

// serveAppend appends the records that a lobby sends.
func (s *operatorStore) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == platform.ConfigurationTopic || topic == platform.BackendTopic {
		http.Error(w, "not writable", http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var records []storeRecord
	for s.shared.Load() && len(body) > 0 {
		length := 4 + binary.BigEndian.Uint32(body)
		content, keyLength := body[5:length], body[4]
		records = append(records, storeRecord{key: string(content[:keyLength]), value: string(content[keyLength:])})
		body = body[length:]
	}
	offset := s.append(topic, records...)
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, offset, offset+len(records))
}

// countingBackend is a fake model engine that counts the requests that reach it.
type countingBackend struct{ arrived atomic.Int64 }

func (b *countingBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		b.arrived.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: "+request.Header.Get("Request-Id")+"\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n")
	}
}

// TestEvacuatedDomainGetsNoLoad guards against requests of a complete lobby that reach a
// failure domain which the operator has asked to evacuate, in the store that the lobby
// reads, and against one that stays empty after the key was removed.
func TestEvacuatedDomainGetsNoLoad(t *testing.T) {
	first, second := &countingBackend{}, &countingBackend{}
	store, storeAddress := newOperatorStore(t, platformConfig, map[string]string{
		"i-1": listEntry(newScriptedBackend(t, first.serve)),
		"i-2": strings.Replace(listEntry(newScriptedBackend(t, second.serve)), `"zone":"d1"`, `"zone":"d2"`, 1),
	})
	store.set("evacuate/d2", "{}")
	address, log := startLobby(t, storeAddress)
	load := func(phase string) {
		t.Helper()
		for n := range 20 {
			if status := sendRequest(t, address, fmt.Sprint(phase, "-", n), "/a/ok", "m"); status != http.StatusOK {
				t.Errorf("%s: status %d", phase, status)
			}
		}
	}
	load("set-before-the-start")
	if n := second.arrived.Load(); n > 0 {
		t.Errorf("%d requests in the domain that was evacuated before the start", n)
	}
	store.set("evacuate/d1", "{}")
	store.set("evacuate/\xff", "{}")
	store.set("evacuate/d2", "")
	store.set("evacuate/nowhere", "{}")
	awaitLine(t, log, "domain=nowhere ", "state=requested")
	before := first.arrived.Load()
	load("moved")
	if n := first.arrived.Load() - before; n > 0 {
		t.Errorf("%d requests in the evacuated domain", n)
	}
	store.set("evacuate/d1", "")
	store.set("evacuate/nowhere", "")
	awaitLine(t, log, "domain=nowhere ", "state=ended")
	load("returned")
	if n := first.arrived.Load() - before; n == 0 {
		t.Error("no request in the domain that was returned to service")
	}
}

// TestEvacuationIsLearntFromAnotherLobby guards against a lobby that has lost the store and
// does not act on an evacuation that another lobby tells it, or does not pass it on, and
// against a stale digest that ends it.
func TestEvacuationIsLearntFromAnotherLobby(t *testing.T) {
	backend := &countingBackend{}
	store, storeAddress := newOperatorStore(t, platformConfig, map[string]string{"i-1": listEntry(newScriptedBackend(t, backend.serve))})
	settings := parseLobbySettings(t, storeAddress)
	log := runLobby(t, settings)
	address, peer := settings.Address("porch", "listen"), newRPCClient(settings.Address("door", "listen"))
	if status := sendRequest(t, address, "before", "/a/ok", "m"); status != http.StatusOK {
		t.Errorf("before: status %d", status)
	}
	store.down.Store(true)
	tell := func(serial int64, evacuations deployment.EvacuationsConfig) {
		t.Helper()
		digest := protocol.NewDigest(protocol.DigestConfig{Sender: "10.0.0.9:7000", Incarnation: 1, Serial: serial, Evacuations: evacuations})
		if err := peer.Call(protocol.DigestMethod, digest, &protocol.Nothing{}, testTimeout); err != nil {
			t.Fatal(err)
		}
	}
	tell(1, deployment.EvacuationsConfig{Through: 9, Offsets: map[string]int64{"d1": 8}})
	awaitLine(t, log, "domain=d1 ", "source=lobby", "state=requested")
	tell(2, deployment.EvacuationsConfig{Through: 8})
	if status := sendRequest(t, address, "evacuated", "/a/ok", "m"); status != http.StatusServiceUnavailable {
		t.Errorf("evacuated: status %d", status)
	}
	var bundle protocol.Bundle
	if err := peer.Call(protocol.BundleMethod, protocol.Nothing{}, &bundle, testTimeout); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(true, bundle.Evacuations().Contains("d1")); diff != "" {
		t.Errorf("told to others (-want +got):\n%s", diff)
	}
	tell(3, deployment.EvacuationsConfig{Through: 10})
	awaitLine(t, log, "domain=d1 ", "source=lobby", "state=ended")
	if status := sendRequest(t, address, "returned", "/a/ok", "m"); status != http.StatusOK {
		t.Errorf("returned: status %d", status)
	}
}

// TestBundleHoldsAllEvacuations guards against a lobby that starts without the store and
// serves from evacuated domains, because another one has told it of some only.
func TestBundleHoldsAllEvacuations(t *testing.T) {
	offsets := make(map[string]int64)
	for i := range int64(maxReportedEvacuations + 2) {
		offsets[fmt.Sprint("d", i)] = i
	}
	want := deployment.EvacuationsConfig{Through: 99, Offsets: offsets}
	m := &mediator{state: discovery.NewState(discovery.StateConfig{Listener: deafListener{}})}
	m.state.SetPeerEvacuations(time.Now(), deployment.NewEvacuations(want))
	bundle := m.Bundle()
	if diff := cmp.Diff(want, bundle.Evacuations().Report(len(offsets))); diff != "" {
		t.Errorf("evacuations in the bundle (-want +got):\n%s", diff)
	}
}

// deafListener ignores all changes.
type deafListener struct{}

func (deafListener) ConfigurationChanged(*deployment.Configuration) {}

func (deafListener) BackendsChanged(time.Time, []deployment.Backend) {}

func (deafListener) EvacuationsChanged(discovery.EvacuationChange) error { return nil }

// awaitLine waits until a line of the log contains all texts.
func awaitLine(t *testing.T, log *logBuffer, texts ...string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if log.hasLine(texts) {
			return
		}
	}
	t.Fatalf("no line with %q", texts)
}

// hasLine reports whether a line contains all texts.
func (l *logBuffer) hasLine(texts []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			return true
		}
	}
	return false
}
