package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"time"
)

// outgoing is a client's request.
type outgoing struct {
	address, method, path, body string
	header                      []string // lines
	timeout                     time.Duration
	conn                        net.Conn      // nil for a new connection
	reader                      *bufio.Reader // of conn
}

// incoming is the answer to a client's request. status is zero if there is none.
type incoming struct {
	status int
	header http.Header
	body   []byte
	err    error // the answer is not complete
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request and reads the whole answer.
func send(o outgoing) incoming {
	conn := o.conn
	if conn == nil {
		var err error
		if conn, err = net.DialTimeout("tcp", o.address, time.Second); err != nil {
			return incoming{err: err}
		}
		defer conn.Close()
		o.reader = bufio.NewReader(conn)
	}
	_ = conn.SetDeadline(time.Now().Add(o.timeout))
	lines := []string{o.method + " " + o.path + " HTTP/1.1"}
	lines = append(lines, o.header...)
	if o.body != "" || o.method == "POST" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(o.body)))
	}
	if !strings.Contains(strings.Join(lines, "\n"), "\nHost: ") {
		lines = append(lines, "Host: desk.example")
	}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+o.body); err != nil {
		return incoming{err: err}
	}
	response, err := http.ReadResponse(o.reader, &http.Request{Method: o.method})
	if err != nil {
		return incoming{err: err}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return incoming{status: response.StatusCode, header: response.Header, body: body, err: err}
}
