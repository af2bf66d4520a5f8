package httpclient_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/httpclient"
)

func TestRequestsAreSentOnce(t *testing.T) {
	type result struct {
		Status int
		Body   string
	}
	cases := map[string]struct {
		response string
		want     result
		failed   bool
	}{
		"response":           {response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", want: result{200, "hi"}},
		"error status":       {response: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", want: result{Status: 503}},
		"no response":        {failed: true},
		"truncated response": {response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", failed: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			var received atomic.Int64
			requests := make(chan string, 8)
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						received.Add(1)
						body, _ := io.ReadAll(request.Body)
						requests <- request.Method + " " + request.URL.String() + " " + request.Header.Get("X-Own") + " " + string(body)
					}
					_, _ = io.WriteString(conn, tc.response)
					_ = conn.Close()
				}
			}()
			client := httpclient.New(httpclient.Config{Address: listener.Addr().String(), MaxConns: 1})
			status, body, err := client.Send(httpclient.NewRequest(httpclient.RequestConfig{
				Method: http.MethodPost, Path: "/a?b=c", Header: map[string]string{"X-Own": "1"}, Body: []byte("hello"), Timeout: 5 * time.Second,
			}))
			if diff := cmp.Diff(tc.failed, err != nil); diff != "" {
				t.Fatalf("failed (-want +got):\n%s%v", diff, err)
			}
			if diff := cmp.Diff(tc.want, result{status, string(body)}); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff("POST /a?b=c 1 hello", <-requests); diff != "" {
				t.Errorf("request (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(int64(1), received.Load()); diff != "" {
				t.Errorf("times sent (-want +got):\n%s", diff)
			}
		})
	}
}

// TestBodyWithoutEndIsAnErrorOfItsCall gets responses whose body is longer than allowed,
// up to one without end. The client read them until its call timed out.
func TestBodyWithoutEndIsAnErrorOfItsCall(t *testing.T) {
	const maxBody = 64 << 10
	cases := map[string]struct {
		head   string
		piece  string
		pieces int // zero for no end
		failed bool
	}{
		"as long as allowed":            {head: "Content-Length: 65536\r\n", piece: strings.Repeat("x", maxBody), pieces: 1},
		"longer by its length":          {head: "Content-Length: 65537\r\n", piece: strings.Repeat("x", maxBody), failed: true},
		"chunks without end":            {head: "Transfer-Encoding: chunked\r\n", piece: "400\r\n" + strings.Repeat("x", 1024) + "\r\n", failed: true},
		"no end until the connection's": {piece: strings.Repeat("x", 1024), failed: true},
		"header fields without end":     {head: strings.Repeat("A: b\r\n", 10000), failed: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = conn.Close() }()
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
							return
						}
						_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+tc.head+"\r\n")
						for n := 0; err == nil && (tc.pieces == 0 || n < tc.pieces); n++ {
							_, err = io.WriteString(conn, tc.piece)
						}
					}()
				}
			}()
			client := httpclient.New(httpclient.Config{Address: listener.Addr().String(), MaxConns: 1, MaxBody: maxBody})
			const callTimeout = 20 * time.Second
			start := time.Now()
			_, body, err := client.Send(httpclient.NewRequest(httpclient.RequestConfig{Method: http.MethodGet, Path: "/", Timeout: callTimeout}))
			if diff := cmp.Diff(tc.failed, err != nil); diff != "" {
				t.Errorf("failed (-want +got):\n%s%d bytes, %v", diff, len(body), err)
			}
			if time.Since(start) >= callTimeout {
				t.Error("the call has timed out")
			}
		})
	}
}
