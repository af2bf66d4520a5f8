package httpserver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
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
