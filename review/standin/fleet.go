package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and limits of the small deployments on the users' pages.
const (
	graceTime    = 8 * time.Second
	contactTime  = 3 * time.Second
	lossSlack    = 200 * time.Millisecond
	frontMemory  = 284 // MB
	sideMemory   = 216 // MB
	beatPeriod   = 1200 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// fleet is a small deployment: a store, workers and the project's processes, each
// machine on a loopback address of its own.
type fleet struct {
	root    string // the repository
	dir     string // temporary folder
	network string // first three bytes of the loopback addresses
	port    string // port for calls between the project's processes
	store   *store
	record  *record
	// descriptors limits the open files of the processes that are started from then on;
	// zero for no limit.
	descriptors int

	mu        sync.Mutex
	machines  int
	processes []*process
	stopped   chan struct{}
}

func newFleet(root string, record *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: record, stopped: make(chan struct{})}
	for {
		f.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		if free(f.network+".1", "9109") {
			break
		}
	}
	port, err := freePort(f.network + ".1")
	if err != nil {
		return nil, err
	}
	f.port = port
	f.store, err = startStore(f.address())
	return f, err
}

func free(ip, port string) bool {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, port))
	if err == nil {
		_ = listener.Close()
	}
	return err == nil
}

func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	return port, err
}

// address returns the loopback address of a new machine.
func (f *fleet) address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines++
	return f.network + "." + strconv.Itoa(f.machines)
}

// lobby is a front machine.
type lobby struct {
	*process
	front, ready string
}

// startLobby starts sesamewell-lobby with the settings that the platform fills in.
func (f *fleet) startLobby(name string) (*lobby, error) {
	ip := f.address()
	front, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	ready, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	l := &lobby{front: ip + ":" + front, ready: ip + ":" + ready}
	l.process, err = f.start(name, "target/sesamewell-lobby", "platform/lobby.ini", frontMemory, map[string]any{
		"node_name": name, "zone": "zone-a", "ip": ip, "zones": map[string]any{"zone-a": "region-a"},
		"limits": map[string]any{"memory_mb": frontMemory}, "internal_port_range": []any{f.port, f.port},
		"platform":         map[string]any{"address": f.store.addr},
		"listen_addresses": map[string]any{"front": l.front, "ready": l.ready},
		"bounds": map[string]any{
			"grace_s": 8, "drain_ms": 2000, "contact_ms": 3000, "origin_rate_overshoot": 1.1,
			"retry_budget_ratio": 0.2, "budget_extra_retries": 54, "budget_window_s": 10,
		},
	})
	return l, err
}

// startKeeper starts sesamewell-keeper on the machine of the worker at app.
func (f *fleet) startKeeper(name, app string) (*process, error) {
	ip, _, err := net.SplitHostPort(app)
	if err != nil {
		return nil, err
	}
	return f.start(name, "target/sesamewell-keeper", "platform/keeper.ini", sideMemory, map[string]any{
		"node_name": name, "ip": ip, "app": app, "limits": map[string]any{"memory_mb": sideMemory},
		"internal_port_range": []any{f.port, f.port}, "bounds": map[string]any{"grace_s": 8},
	})
}

// process is one process of the project. The platform starts it again when it ends,
// and kills it when it exceeds its memory.
type process struct {
	fleet    *fleet
	name     string
	program  string
	settings string
	memoryMB int

	mu     sync.Mutex
	cmd    *exec.Cmd
	ends   []string // how it ended, each time by itself
	peakMB int
	final  bool // it is not started again
	exited chan struct{}
}

func (f *fleet) start(name, program, template string, memoryMB int, fields map[string]any) (*process, error) {
	text, err := os.ReadFile(filepath.Join(f.root, template))
	if err != nil {
		return nil, err
	}
	settings, err := renderTemplate(string(text), fields)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", template, err)
	}
	path := filepath.Join(f.dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p := &process{fleet: f, name: name, program: program, settings: path, memoryMB: memoryMB}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, p.run()
}

func (p *process) run() error {
	out, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.fleet.root, p.program))
	if limit := p.fleet.descriptors; limit > 0 {
		cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q", limit, filepath.Join(p.fleet.root, p.program)))
	}
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.fleet.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "SESAMEWELL_CONFIG=" + p.settings}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd, p.exited = cmd, make(chan struct{})
	exited := p.exited
	p.mu.Unlock()
	p.fleet.record.add("%s starts: %s", p.name, p.program)
	killed := make(chan string, 1)
	go p.watchMemory(cmd.Process.Pid, exited, killed)
	go func() {
		err := cmd.Wait()
		close(exited)
		_ = out.Close()
		p.ended(err, killed)
	}()
	return nil
}

// ended records the end of the process and starts it again.
func (p *process) ended(err error, killed chan string) {
	reason := fmt.Sprint("ends by itself: ", err)
	select {
	case reason = <-killed:
	default:
	}
	p.mu.Lock()
	final := p.final
	if !final {
		p.ends = append(p.ends, reason)
	}
	p.mu.Unlock()
	if final {
		p.fleet.record.add("%s has stopped (%v)", p.name, err)
		return
	}
	p.fleet.record.add("%s %s", p.name, reason)
	select {
	case <-p.fleet.stopped:
	case <-time.After(restartDelay):
		_ = p.run()
	}
}

// watchMemory kills the process when it exceeds its memory, as the platform does.
func (p *process) watchMemory(pid int, exited chan struct{}, killed chan string) {
	page := os.Getpagesize()
	for {
		select {
		case <-exited:
			return
		case <-time.After(5 * time.Millisecond):
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
		if err != nil {
			return
		}
		fields := strings.Fields(string(text))
		if len(fields) < 3 {
			continue
		}
		pages, _ := strconv.Atoi(fields[1])
		mb := pages * page >> 20
		p.mu.Lock()
		p.peakMB = max(p.peakMB, mb)
		p.mu.Unlock()
		if mb > p.memoryMB {
			killed <- fmt.Sprintf("uses %d MB of %d MB and is killed by the platform", mb, p.memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace time. The process is not
// started again.
func (p *process) terminate() {
	p.mu.Lock()
	p.final = true
	pid, exited := p.cmd.Process.Pid, p.exited
	p.mu.Unlock()
	p.fleet.record.add("%s gets SIGTERM", p.name)
	_ = syscall.Kill(pid, syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(graceTime):
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	}()
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	close(f.stopped)
	for _, p := range f.processes {
		p.mu.Lock()
		p.final = true
		cmd, exited := p.cmd, p.exited
		p.mu.Unlock()
		if cmd == nil {
			continue
		}
		select {
		case <-exited:
		default:
			_ = syscall.Kill(cmd.Process.Pid, syscall.SIGKILL)
			<-exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// awaitReady waits until a lobby is ready.
func awaitReady(l *lobby) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + l.ready + "/sesamewell/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", l.name)
}
