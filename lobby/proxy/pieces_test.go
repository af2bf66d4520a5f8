package proxy_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

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
			status, body, err := request.Exchange(l.address, testTimeout)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]any{http.StatusOK, request.Body()}, []any{status, body}); diff != "" {
				t.Errorf("status and body (-want +got):\n%s", diff)
			}
		})
	}
}
