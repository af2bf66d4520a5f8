package e2e

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"sesamewell.example/commons/testkit"
)

const (
	maxHeader  = 16384   // max_header_bytes of the configuration
	maxBody    = 4194304 // max_body_bytes of the configuration
	smallChunk = "1\r\nx\r\n"
	redialTime = 20 * time.Millisecond // pause of an abusive client after its connection was closed
)

// door is a port of a process that untrusted clients reach, and the requests that it
// understands.
type door struct {
	address string
	lines   string // header lines of each request, with their line ends
	quick   string // path that is answered at once
	large   string // path with a large answer
	slow    string // path whose backend server takes its time
	stream  string // path of a stream that goes on
	body    string // body of a request for the stream
}

// head returns the request line and the header lines of a request, without the last line
// end.
func (d door) head(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + d.lines
}

// withBody returns a whole request with a body.
func (d door) withBody(path, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", d.head("POST", path), len(body), body)
}

const (
	nameBytes = 15000 // length of the names that a client makes up, below maxHeader
	maxNames  = 1000  // requests of one connection that name something else each time
)

// withName returns a request that names something of which no other one has heard, each time
// another kind of thing. The first of several fields with one name counts.
func (d door) withName(n int) string {
	name := fmt.Sprintf("%x-%s", rand.Uint64(), strings.Repeat("x", nameBytes))
	parts := fmt.Sprintf("%x:1,", rand.Uint32()) + strings.Repeat("a:0,", nameBytes/len("a:0,")) + "b:0"
	fields := []string{"Model: " + name, "Model: m/" + name, "Prompt-Prefix: " + name + ":1", "Prompt-Prefix: " + parts, "Request-Id: " + name, "Authorization: Bearer " + name, "Idempotency-Key: " + name, "Host: " + name}
	named := d
	field := fields[n%len(fields)]
	named.lines = "Deadline-Ms: 100\r\n" + field + "\r\n" + d.lines
	body := strings.Replace(d.body, `"model":"`, `"model":"`+name, n%2)
	return strings.Replace(named.withBody(d.stream, body), "Host: h\r\n", "", strings.Count(field, "Host: "))
}

// script is what one abusive client does on one connection, until the connection breaks.
type script func(d door, conn net.Conn) error

// crowd is a number of abusive clients that connect again whenever their connection is
// closed.
type crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
}

func startCrowd(d door, size int, run script) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &crowd{cancel: cancel}
	for range size {
		c.clients.Go(func() {
			for ctx.Err() == nil {
				visit(ctx, d, run)
				time.Sleep(redialTime)
			}
		})
	}
	return c
}

// stop closes all connections and waits for the clients.
func (c *crowd) stop() {
	c.cancel()
	c.clients.Wait()
}

// visit opens a connection and plays a script on it.
func visit(ctx context.Context, d door, run script) {
	conn, err := testkit.TryDialEthernet(d.address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	// Small buffers of the kernel on the client's side leave the bytes with the server.
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	if err := run(d, conn); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// write writes texts one after the other.
func write(conn net.Conn, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	return nil
}

// repeat writes a text without end.
func repeat(conn net.Conn, text string, pause time.Duration) error {
	for {
		if err := write(conn, text); err != nil {
			return err
		}
		time.Sleep(pause)
	}
}

// unread writes a text without end, and reads nothing until the connection breaks.
func unread(conn net.Conn, text string) error { return repeat(conn, text, 0) }

// hold keeps the connection open and reads nothing until the server closes it.
func hold(conn net.Conn) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	for broken := false; !broken; time.Sleep(20 * time.Millisecond) {
		if controlErr := raw.Control(func(fd uintptr) {
			code, optErr := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
			broken = optErr != nil || code != 0
		}); controlErr != nil {
			return controlErr
		}
	}
	return io.ErrClosedPipe
}

func declared(d door, length int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", d.head("POST", d.quick), length)
}

func chunked(d door) string {
	return d.head("POST", d.quick) + "Transfer-Encoding: chunked\r\n\r\n"
}

// pattern is one way in which clients abuse a server.
type pattern struct {
	clients   int
	run       script
	stops     bool // the process is told to stop meanwhile
	everyPort bool // played on the operators' and readiness ports too
}

// patterns are the abusive client patterns. The tests guard against a process that
// exceeds its memory or its descriptors, ends, or does not serve others any more.
var patterns = map[string]pattern{
	"body at once, one byte short": {clients: 200, everyPort: true, run: func(d door, conn net.Conn) error {
		return write(conn, declared(d, maxBody), strings.Repeat("x", maxBody-1))
	}},
	"body by pieces, one byte short": {clients: 300, run: func(d door, conn net.Conn) error {
		if err := write(conn, declared(d, maxBody)); err != nil {
			return err
		}
		for sent := 0; sent+1024 < maxBody; sent += 1024 {
			if err := write(conn, strings.Repeat("x", 1024)); err != nil {
				return err
			}
			time.Sleep(time.Millisecond)
		}
		return nil
	}},
	"large chunks, stopping short": {clients: 200, run: func(d door, conn net.Conn) error {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
		return write(conn, chunked(d), strings.Repeat(chunk, maxBody/(64<<10)-1))
	}},
	"one-byte chunks, stopping short": {clients: 300, everyPort: true, run: func(d door, conn net.Conn) error {
		if err := write(conn, chunked(d)); err != nil {
			return err
		}
		for range 256 {
			if err := write(conn, strings.Repeat(smallChunk, 512)); err != nil {
				return err
			}
			time.Sleep(time.Millisecond)
		}
		return nil
	}},
	"body over the limit, declared": {clients: 300, run: func(d door, conn net.Conn) error {
		if err := write(conn, declared(d, 1<<30)); err != nil {
			return err
		}
		return unread(conn, strings.Repeat("x", 64<<10))
	}},
	"body over the limit, undeclared": {clients: 300, run: func(d door, conn net.Conn) error {
		if err := write(conn, chunked(d)); err != nil {
			return err
		}
		return unread(conn, "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n")
	}},
	"head without end": {clients: 600, everyPort: true, run: func(d door, conn net.Conn) error {
		if err := write(conn, d.head("GET", d.quick)); err != nil {
			return err
		}
		return unread(conn, "A: "+strings.Repeat("x", 400)+"\r\n")
	}},
	"head that stops short of its end": {clients: 600, run: func(d door, conn net.Conn) error {
		head := d.head("GET", d.quick)
		return write(conn, head, "A: "+strings.Repeat("x", maxHeader-len(head)-len("A: ")))
	}},
	"very many header lines": {clients: 600, everyPort: true, run: func(d door, conn net.Conn) error {
		head := declared(d, 2)
		head = strings.TrimSuffix(head, "\r\n")
		return write(conn, head, strings.Repeat("a:\r\n", (maxHeader-len(head))/len("a:\r\n")), "\r\n", "x")
	}},
	"very long line": {clients: 300, run: func(d door, conn net.Conn) error {
		if err := write(conn, "GET /"); err != nil {
			return err
		}
		return unread(conn, strings.Repeat("x", 64<<10))
	}},
	"idle connections": {clients: 1000, everyPort: true, run: func(_ door, conn net.Conn) error { return nil }},
	"connections at a high rate": {clients: 50, everyPort: true, run: func(d door, conn net.Conn) error {
		return io.EOF // closes it at once
	}},
	"pipelined requests, answers not read": {clients: 600, everyPort: true, run: func(d door, conn net.Conn) error {
		return unread(conn, strings.Repeat(d.head("GET", d.quick)+"\r\n", 16))
	}},
	"pipelined bodies behind a slow request": {clients: 200, run: func(d door, conn net.Conn) error {
		if err := write(conn, d.withBody(d.slow, "{}")); err != nil {
			return err
		}
		return unread(conn, d.withBody(d.quick, strings.Repeat("x", 64<<10)))
	}},
	"pipelined requests for large answers": {clients: 100, everyPort: true, run: func(d door, conn net.Conn) error {
		return unread(conn, strings.Repeat(d.withBody(d.large, "{}"), 16))
	}},
	"large answers not read": {clients: 200, run: func(d door, conn net.Conn) error {
		if err := write(conn, d.withBody(d.large, "{}")); err != nil {
			return err
		}
		return hold(conn)
	}},
	"one byte a second of a stream": {clients: 200, run: func(d door, conn net.Conn) error {
		if err := write(conn, d.withBody(d.stream, d.body)); err != nil {
			return err
		}
		for buffer := make([]byte, 1); ; time.Sleep(time.Second) {
			if _, err := conn.Read(buffer); err != nil {
				return err
			}
		}
	}},
	"streams not read": {clients: 200, run: func(d door, conn net.Conn) error {
		if err := write(conn, d.withBody(d.stream, d.body)); err != nil {
			return err
		}
		return hold(conn)
	}},
	"other names in each request": {clients: 300, run: func(d door, conn net.Conn) error {
		for n := range maxNames {
			if err := write(conn, d.withName(n)); err != nil {
				return err
			}
			if _, err := conn.Read(make([]byte, 64<<10)); err != nil {
				return err
			}
		}
		return io.EOF
	}},
	"streams of prompts with very many parts": {clients: 300, run: func(d door, conn net.Conn) error {
		named := d
		named.lines = "Prompt-Prefix: " + strings.Repeat("a:0,", nameBytes/len("a:0,")) + "b:0\r\n" + d.lines
		if err := write(conn, named.withBody(d.stream, d.body)); err != nil {
			return err
		}
		for buffer := make([]byte, 64<<10); ; {
			if _, err := conn.Read(buffer); err != nil {
				return err
			}
		}
	}},
	"requests cancelled at a high rate": {clients: 100, run: func(d door, conn net.Conn) error {
		if err := write(conn, d.withBody(d.slow, "{}")); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
		return io.EOF
	}},
	"pipelined requests, answers not read, while the process stops": {clients: 600, stops: true, run: func(d door, conn net.Conn) error {
		return unread(conn, strings.Repeat(d.head("GET", d.quick)+"\r\n", 16))
	}},
	"bodies one byte short while the process stops": {clients: 200, stops: true, run: func(d door, conn net.Conn) error {
		return write(conn, declared(d, maxBody), strings.Repeat("x", maxBody-1))
	}},
}
