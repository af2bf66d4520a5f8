package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"sesamewell.example/commons/testkit"
)

// descriptorsVariable names the environment variable by which the test binary runs as a
// lobby, with so many descriptors.
const descriptorsVariable = "LOBBY_TEST_DESCRIPTORS"

// TestMain runs the tests, or the lobby if this is a process that startProcess started.
func TestMain(m *testing.M) {
	text, ok := os.LookupEnv(descriptorsVariable)
	if !ok {
		os.Exit(m.Run())
	}
	limit, err := strconv.ParseUint(text, 10, 64)
	if err == nil {
		err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	main()
}

// lobbyProcess is a lobby in a process of its own.
type lobbyProcess struct {
	address, probe string
	settings       string // path of its settings file
	descriptors    int
	cmd            *exec.Cmd
	log            *logBuffer
	exited         chan struct{}
}

// startProcess starts a lobby that may open a number of descriptors and take the grace
// time to stop, and waits until it is ready. Its settings file ends with the given sections.
func startProcess(t *testing.T, storeAddress string, descriptors int, grace time.Duration, sections ...string) *lobbyProcess {
	t.Helper()
	p := &lobbyProcess{
		address: testkit.FreeAddress(t), probe: testkit.FreeAddress(t), settings: filepath.Join(t.TempDir(), "lobby.ini"),
		descriptors: descriptors, log: &logBuffer{},
	}
	settings := lobbySettings(t, storeAddress, p.address, p.probe, grace) + strings.Join(sections, "")
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p.launch(t)
	awaitReady(t, p.probe)
	return p
}

// launch starts the process with its settings file, again if it has exited.
func (p *lobbyProcess) launch(t *testing.T) {
	t.Helper()
	cmd, exited := exec.Command(os.Args[0], p.settings), make(chan struct{})
	// A program with the race detector waits for a second before it exits.
	cmd.Env = append(os.Environ(), descriptorsVariable+"="+strconv.Itoa(p.descriptors), "GORACE=atexit_sleep_ms=0")
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(exited)
		_ = cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
	p.cmd, p.exited = cmd, exited
}

// caller is a caller's connection, which it keeps.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialCaller(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, testTimeout)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request and returns the status and the body of its answer.
func (c *caller) send(id, path string) (int, []byte, error) {
	if err := c.write(id, path); err != nil {
		return 0, nil, err
	}
	return c.read()
}

// write sends a request.
func (c *caller) write(id, path string) error {
	if err := c.conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return err
	}
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nModel: m\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", path, id, key)
	return err
}

// read reads an answer and returns its status and body.
func (c *caller) read() (int, []byte, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, nil, err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}
