package httpserver_test

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/testkit"
)

// TestBodiesInPiecesArriveWhole guards against bytes of a body that are dropped where a
// segment begins.
func TestBodiesInPiecesArriveWhole(t *testing.T) {
	address := startServer(t, nil)
	for name, request := range testkit.RequestsInPieces("POST / HTTP/1.1", "Host: a\r\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, body, err := request.Exchange(address, timeout)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]any{http.StatusOK, request.Body()}, []any{status, body}); diff != "" {
				t.Errorf("status and body (-want +got):\n%s", diff)
			}
		})
	}
}
