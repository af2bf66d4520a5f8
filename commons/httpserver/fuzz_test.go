package httpserver_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func FuzzServer(f *testing.F) {
	seeds := map[string]string{
		"complete":        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi",
		"chunked":         "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"truncated chunk": "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n0\r\n\r\n",
		"two lengths":     "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
		"no header end":   "GET / HTTP/1.1\r\nA: b",
		"binary":          "\x00\xff\x16\x03\x01\r\n\r\n",
		"no path":         "GET  HTTP/1.1\r\n\r\n",
		"bare newlines":   "GET / HTTP/1.1\n\n",
		"long length":     "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"bad authority":   "GET http://[::1 HTTP/1.1\r\nHost: \r\n\r\n",
	}
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		address := startServer(t, nil)
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		// The server may close the connection during the write.
		_, _ = conn.Write(raw)
		if err := conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, conn)
		statuses, _ := exchange(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 1)
		if diff := cmp.Diff([]int{200}, statuses); diff != "" {
			t.Errorf("status of the next request (-want +got):\n%s", diff)
		}
	})
}
