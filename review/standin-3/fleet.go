package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines, as on the platform; each machine has a loopback address.
const (
	frontPort    = 8221
	readyPort    = 8224
	appPort      = 8228
	internalPort = 7600
	metricsPort  = 9109
	storePort    = 8225
)

const zoneName = "nyarugenge"

// fleet runs the project's programs as processes, and ends them.
type fleet struct {
	root    string // of the repository
	dir     string // temporary folder
	network string // first three numbers of all addresses
	store   string
	log     *record

	mu    sync.Mutex
	procs map[string]*proc
}

// proc is one running process.
type proc struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func newFleet(root, dir string, log *record) *fleet {
	for {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, storePort))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return &fleet{root: root, dir: dir, network: network, store: fmt.Sprintf("%s.1:%d", network, storePort), log: log, procs: make(map[string]*proc)}
	}
}

// ip returns the address of a machine.
func (f *fleet) ip(machine int) string { return fmt.Sprintf("%s.%d", f.network, machine) }

func (f *fleet) front(machine int) string { return fmt.Sprintf("%s:%d", f.ip(machine), frontPort) }

// settings fills in a template of platform/ as the platform does, with the figures of the
// small deployment that the pages show.
func (f *fleet) settings(template string, machine int, name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(f.root, "platform", template))
	if err != nil {
		return "", err
	}
	ip := f.ip(machine)
	values := map[string]string{
		"node_name": name, "zone": zoneName, "ip": ip, "limits.memory_mb": "284", "bounds.grace_s": "8",
		"internal_port_range.0": fmt.Sprint(internalPort), "platform.address": f.store, "bounds.drain_ms": "2000",
		"bounds.contact_ms": "3000", "listen_addresses.front": fmt.Sprintf("%s:%d", ip, frontPort),
		"listen_addresses.ready": fmt.Sprintf("%s:%d", ip, readyPort), "bounds.origin_rate_overshoot": "1.1",
		"bounds.retry_budget_ratio": "0.2", "bounds.budget_extra_retries": "52", "bounds.budget_window_s": "10",
		"app": fmt.Sprintf("%s:%d", ip, appPort), "bounds.cold_overshoot": "", "bounds.cold_slack": "",
	}
	if template == "keeper.ini" {
		values["limits.memory_mb"] = "216"
	}
	out := string(text)
	for {
		from := strings.Index(out, "{{#")
		if from < 0 {
			break
		}
		key, _, _ := strings.Cut(out[from+3:], "}}")
		end := strings.Index(out, "{{/"+key+"}}")
		section := out[from+len("{{#}}")+len(key) : end]
		switch {
		case key == "zones":
			section = strings.NewReplacer("{{@}}", zoneName, "{{.}}", "kigali").Replace(section)
		case values[key] == "":
			section = ""
		}
		out = out[:from] + section + out[end+len("{{/}}")+len(key):]
	}
	for key, value := range values {
		out = strings.ReplaceAll(out, "{{"+key+"}}", value)
	}
	return out, nil
}

// start starts a role on a machine with the command of the deploy file.
func (f *fleet) start(role string, machine int) error {
	name := fmt.Sprintf("%s-%d", role, machine)
	text, err := f.settings(role+".ini", machine, name)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(f.root, "target", "sesamewell-"+role))
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, logs, logs
	cmd.Env = []string{"SESAMEWELL_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &proc{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = logs.Close()
		close(p.done)
	}()
	f.mu.Lock()
	f.procs[name] = p
	f.mu.Unlock()
	f.log.add("platform: %s started at %s", name, f.ip(machine))
	return nil
}

// kill ends a process with SIGKILL.
func (f *fleet) kill(role string, machine int) {
	name := fmt.Sprintf("%s-%d", role, machine)
	f.mu.Lock()
	p := f.procs[name]
	f.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
	f.log.add("platform: %s killed", name)
}

// running reports whether a process has not ended.
func (f *fleet) running(role string, machine int) bool {
	f.mu.Lock()
	p := f.procs[fmt.Sprintf("%s-%d", role, machine)]
	f.mu.Unlock()
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (f *fleet) pid(role string, machine int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[fmt.Sprintf("%s-%d", role, machine)].cmd.Process.Pid
}

// stopAll ends all processes.
func (f *fleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.procs {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// ready reports whether a lobby answers the platform's probe with 200.
func (f *fleet) ready(machine int) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get(fmt.Sprintf("http://%s:%d/sesamewell/ready", f.ip(machine), readyPort))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until the lobbies are ready.
func (f *fleet) awaitReady(limit time.Duration, machines ...int) error {
	until := time.Now().Add(limit)
	for _, machine := range machines {
		for !f.ready(machine) {
			if time.Now().After(until) {
				return fmt.Errorf("lobby-%d isn't ready after %s", machine, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// record collects what is written to record.txt.
type record struct {
	mu    sync.Mutex
	began time.Time
	text  bytes.Buffer
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, r.text.Bytes(), 0o644)
}
