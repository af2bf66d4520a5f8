package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// call is one request of a client.
type call struct {
	method, path, id, key string
	headers               string // further header lines
	body                  string
	deadline              time.Duration // after which the client leaves
	stated                time.Duration // that it states; the deadline if zero
}

// outcome is what a client gets.
type outcome struct {
	status     int // zero without a whole answer
	body       string
	retryAfter time.Duration
	err        error
}

// send sends a request on a new connection and reads its answer.
func send(address string, c call) outcome {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return outcome{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		c.method, c.path, c.id, cmp.Or(c.stated, c.deadline).Milliseconds(), c.key, c.headers, len(c.body), c.body); err != nil {
		return outcome{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return outcome{err: err}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome{body: string(body), err: err}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return outcome{status: response.StatusCode, body: string(body), retryAfter: time.Duration(seconds * float64(time.Second))}
}
