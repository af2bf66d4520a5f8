package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one client attempt.
type call struct {
	lobby   string // IP:port
	method  string
	path    string
	id      string
	headers []string // further ones, "Name: value"
	body    string
	limit   time.Duration // Deadline-Ms; the client leaves after it
}

const (
	apiKey   = "i9n73hh2b9wu3fexd9dn"
	hostName = "ficu95.example"
)

// open connects and sends the request.
func (a call) open() (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", a.lobby, time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(a.limit))
	if _, err := io.WriteString(conn, a.text()); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (a call) text() string {
	lines := append([]string{
		fmt.Sprintf("%s %s HTTP/1.1", a.method, a.path), "Host: " + hostName, "Request-Id: " + a.id,
		"Authorization: Bearer " + apiKey, fmt.Sprintf("Deadline-Ms: %d", a.limit.Milliseconds()),
	}, a.headers...)
	if a.method != http.MethodGet {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(a.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + a.body
}

// result is what a client got.
type result struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// do sends the request on a new connection and reads the whole answer.
func (a call) do() result {
	start := time.Now()
	conn, err := a.open()
	if err != nil {
		return result{err: err, took: time.Since(start)}
	}
	defer func() { _ = conn.Close() }()
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
	if err != nil {
		return result{err: err, took: time.Since(start)}
	}
	body, err := io.ReadAll(answer.Body)
	return result{status: answer.StatusCode, header: answer.Header, body: string(body), err: err, took: time.Since(start)}
}

// event is one event of a stream.
type event struct {
	id   int
	data string
}

// stream sends the request and passes on each event as it arrives. complete is set if the
// stream ended with its last chunk.
func (a call) stream(each func(e event)) (status int, header http.Header, complete bool, err error) {
	conn, err := a.open()
	if err != nil {
		return 0, nil, false, err
	}
	defer func() { _ = conn.Close() }()
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
	if err != nil {
		return 0, nil, false, err
	}
	lines := bufio.NewReader(answer.Body)
	var e event
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if err == io.EOF {
				return answer.StatusCode, answer.Header, true, nil
			}
			return answer.StatusCode, answer.Header, false, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			_, _ = fmt.Sscanf(line, "id: %d", &e.id)
		case strings.HasPrefix(line, "data: "):
			e.data = strings.TrimPrefix(line, "data: ")
		case line == "" && answer.StatusCode == http.StatusOK:
			each(e)
			e = event{}
		}
	}
}
