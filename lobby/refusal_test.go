package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// refusalConfig is a configuration with a route of each kind to backend servers without
// models. The parts of their paths are the status and the headers that the backend server
// answers with.
const refusalConfig = `{"version":1,"routes":[
	{"name":"u","host":"h","path_prefix":"/unsafe/","route_kind":"unsafe","timeout_ms":1000,"target_latency_ms":500,"service":"s","max_attempts":1},
	{"name":"t","host":"h","path_prefix":"/twice/","route_kind":"unsafe","timeout_ms":1000,"target_latency_ms":500,"service":"s","max_attempts":2},
	{"name":"s","host":"h","path_prefix":"/safe/","route_kind":"safe","timeout_ms":1000,"target_latency_ms":500,"service":"s","max_attempts":2},
	{"name":"v","host":"h","path_prefix":"/stream/","route_kind":"streaming","timeout_ms":1000,"target_latency_ms":500,"service":"s","max_attempts":1,"gap_target_ms":100}],
	"services":[{"name":"s","max_connections":40}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
	"tenants":[{"name":"t","api_keys":["` + key + `"]}]}`

// serveStatus is a fake backend server that runs each request and answers with the status
// in its path, with a statement that it has not run it if the path ends in "not-run".
func serveStatus(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		parts := strings.Split(request.URL.Path, "/")
		statement := ""
		if parts[len(parts)-1] == "not-run" {
			statement = "Not-Run: 1\r\n"
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n%sContent-Length: 2\r\n\r\nno", parts[2], request.Header.Get("Request-Id"), statement)
	}
}

// TestRequestThatRanIsNotRefusedAsNotRun lets backend servers run requests and answer
// with statuses that callers take to mean that they were not run. Such an answer was
// passed on, and callers sent requests that must run once a second time.
func TestRequestThatRanIsNotRefusedAsNotRun(t *testing.T) {
	backends := map[string]string{"i-1": listEntry(newScriptedBackend(t, serveStatus)), "i-2": listEntry(newScriptedBackend(t, serveStatus))}
	address, _ := startLobby(t, newStore(t, refusalConfig, backends))
	cases := map[string]struct {
		status    int
		statement string
		want      int
	}{
		"503":              {status: 503, want: 502},
		"429":              {status: 429, want: 502},
		"408":              {status: 408, want: 502},
		"503, not run":     {status: 503, statement: "not-run", want: 503},
		"429, not run":     {status: 429, statement: "not-run", want: 503},
		"500":              {status: 500, want: 500},
		"500, not run":     {status: 500, statement: "not-run", want: 503},
		"404":              {status: 404, want: 404},
		"a correct answer": {status: 201, want: 201},
	}
	for name, tc := range cases {
		for _, kind := range []string{"unsafe", "twice", "safe", "stream"} {
			t.Run(name+", "+kind, func(t *testing.T) {
				id := strings.ReplaceAll(t.Name(), " ", "-")
				got := sendRequest(t, address, id, "/"+kind+"/"+strconv.Itoa(tc.status)+"/"+tc.statement, "")
				if diff := cmp.Diff(tc.want, got); diff != "" {
					t.Errorf("status (-want +got):\n%s", diff)
				}
			})
		}
	}
}
