package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sesamewell.example/lobby/scheduler"
)

// halfAnswerVariable names the environment variable by which the test binary runs as a backend
// server that answers each request with its text and then does nothing.
const halfAnswerVariable = "PROXY_TEST_HALF_ANSWER"

// TestMain runs the tests, or the backend server if this is a process that startServer started.
func TestMain(m *testing.M) {
	text, ok := os.LookupEnv(halfAnswerVariable)
	if !ok {
		os.Exit(m.Run())
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	fmt.Println(listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(1)
		}
		go func() {
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", request.Header.Get("Request-Id")))
			fmt.Println("sent")
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
}

// serverProcess is a backend server in a process of its own.
type serverProcess struct {
	address string
	lines   *bufio.Scanner // a line for each request that has got its answer
	cmd     *exec.Cmd
	killed  sync.Once
}

func startServer(t *testing.T, answer string) *serverProcess {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), halfAnswerVariable+"="+answer)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	s := &serverProcess{lines: bufio.NewScanner(out), cmd: cmd}
	t.Cleanup(s.kill)
	if !s.lines.Scan() {
		t.Fatal("backend server did not start")
	}
	s.address = s.lines.Text()
	return s
}

// kill ends the process at once. Its kernel ends its connections.
func (s *serverProcess) kill() {
	s.killed.Do(func() {
		_ = s.cmd.Process.Kill()
		_ = s.cmd.Wait()
	})
}

// connect opens a connection to the backend server that stays open in both processes.
func (s *serverProcess) connect(t *testing.T) {
	t.Helper()
	conn := dial(t, s.address)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	s.lines.Scan()
}

// TestAnswerOfAKilledServerIsNotComplete guards against an answer without a length that is taken
// for complete although the process that wrote it was killed in the middle of it. The kernel
// need not close the listening socket of such a process before its connections.
func TestAnswerOfAKilledServerIsNotComplete(t *testing.T) {
	const runs = 20
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + stamp
	const events = "Content-Type: text/event-stream\r\n"
	cases := map[string]struct {
		answer string
		stream bool
		others int // older connections of other callers
	}{
		"answer, only connection": {answer: head + "\r\nhalf"},
		"answer, 100 older ones":  {answer: head + "\r\nhalf", others: 100},
		"stream, 100 older ones":  {answer: head + events + "\r\nid: 1\ndata: a\n\n", stream: true, others: 100},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			complete := 0
			for range runs {
				s := startServer(t, tc.answer)
				l := newLobby(t, func(c *scheduler.SendConfig) { c.Address, c.Stream = s.address, tc.stream })
				for range tc.others {
					s.connect(t)
				}
				go func() {
					s.lines.Scan()
					s.kill()
				}()
				response, _, err := sendRequest(t, l.address)
				if err == nil && response.StatusCode == http.StatusOK {
					complete++
				}
				<-l.ended
			}
			if diff := cmp.Diff(0, complete); diff != "" {
				t.Errorf("answers of %d taken for complete (-want +got):\n%s", runs, diff)
			}
		})
	}
}
