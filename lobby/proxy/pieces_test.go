package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/testkit"
	"sesamewell.example/lobby/scheduler"
)

// TestBodiesInPiecesArriveWhole guards against bytes of a body that are dropped where a
// segment begins.
func TestBodiesInPiecesArriveWhole(t *testing.T) {
	echo := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", "s")
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(echo.Close)
	l := newLobby(t, func(s *scheduler.SendConfig) { s.Address = echo.Listener.Addr().String() })
	for name, request := range testkit.RequestsInPieces("POST /a HTTP/1.1", "Host: h\r\nRequest-Id: r1\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", l.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
				t.Fatal(err)
			}
			if err := request.Send(conn); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]any{http.StatusOK, request.Body()}, []any{response.StatusCode, string(body)}); diff != "" {
				t.Errorf("status and body (-want +got):\n%s", diff)
			}
		})
	}
}
