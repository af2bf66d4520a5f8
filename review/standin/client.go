package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// client is a stand-in for a client of the users' platform. It keeps one connection.
type client struct {
	name    string
	front   string
	segment int           // bytes in a TCP segment, as on an Ethernet link; 0 for those of the loopback device
	maxGap  time.Duration // time without a byte after which it gives up; 0 for none
	conn    net.Conn
	reader  *bufio.Reader
	used    int // requests on this connection
}

// result is what a client got for one request.
type result struct {
	id       string
	sent     time.Time
	status   int // 0 without the head of an answer
	stamp    string
	close    bool
	retry    string // Retry-After
	body     []byte
	complete bool
	gaveUp   bool
	err      error
	ended    time.Time
	kept     bool // the connection had carried a request before
}

func (r result) String() string {
	text := fmt.Sprintf("status %d, %d bytes, complete: %t, stamp %q", r.status, len(r.body), r.complete, r.stamp)
	if r.err != nil {
		text += ", " + r.err.Error()
	}
	return text
}

func (c *client) dial() error {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if c.segment == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, c.segment)
		})
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", c.front)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	return nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request and reads its answer. headers are whole lines.
func (c *client) send(method, path string, deadline time.Duration, body string, headers ...string) result {
	r := result{id: newID(), sent: time.Now()}
	if c.conn == nil {
		if r.err = c.dial(); r.err != nil {
			r.ended = time.Now()
			return r
		}
	}
	r.kept = c.used > 0
	c.used++
	lines := append([]string{
		method + " " + path + " HTTP/1.1", "Host: shop.example", "Request-Id: " + r.id, fmt.Sprintf("Deadline-Ms: %d", deadline.Milliseconds()),
		"Authorization: Bearer key-1",
	}, headers...)
	if body != "" || method == "POST" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	_ = c.conn.SetDeadline(r.sent.Add(deadline))
	if _, r.err = io.WriteString(c.conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+body); r.err == nil {
		c.read(&r, method)
	}
	r.ended = time.Now()
	if !r.complete || r.close {
		c.hangUp()
	}
	return r
}

func (c *client) read(r *result, method string) {
	limit := c.conn
	deadline := time.Now().Add(time.Hour)
	if c.maxGap > 0 {
		deadline = time.Now().Add(c.maxGap)
		_ = limit.SetReadDeadline(deadline)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		r.err, r.gaveUp = err, isTimeout(err)
		return
	}
	r.status, r.stamp, r.close, r.retry = response.StatusCode, response.Header.Get("Server-Stamp"), response.Close, response.Header.Get("Retry-After")
	buffer := make([]byte, 16<<10)
	for {
		if c.maxGap > 0 {
			_ = limit.SetReadDeadline(time.Now().Add(c.maxGap))
		}
		n, err := response.Body.Read(buffer)
		r.body = append(r.body, buffer[:n]...)
		if err == io.EOF {
			r.complete = true
			return
		}
		if err != nil {
			r.err, r.gaveUp = err, isTimeout(err)
			return
		}
	}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

func (c *client) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// awaitClose waits until the peer closes the connection, for a limited time.
func (c *client) awaitClose(limit time.Duration) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	_, _ = c.reader.Peek(1)
}
