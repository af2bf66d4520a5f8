package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment on loopback addresses: the project's programs as processes of
// their own, and stand-ins of the store, the workers and the clients in this process.
type fleet struct {
	prefix  string // first three bytes of all IPs
	ports   ports
	dir     string
	store   *store
	began   time.Time
	version int64

	mu      sync.Mutex
	record  *os.File
	procs   []*proc
	hosts   int
	stopped bool
}

// proc is one process of the project.
type proc struct {
	name, ip string
	fleet    *fleet
	role     role
	config   string
	mu       sync.Mutex
	cmd      *exec.Cmd
	down     bool
}

func newFleet(recordPath string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: record, store: newStore(), began: time.Now(), hosts: 10}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.Intn(250), rand.Intn(250))
		f.ports.front, err = f.freePort()
		if err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	f.ports.ready, f.ports.app, f.ports.internal = f.ports.front+1, f.ports.front+2, f.ports.front+3
	if err := f.store.serve(f.storeAddress()); err != nil {
		return nil, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.end()
		os.Exit(2)
	}()
	return f, nil
}

// freePort returns the first of some consecutive ports that are free on the first address.
func (f *fleet) freePort() (int, error) {
	listener, err := net.Listen("tcp", f.prefix+"1:0")
	if err != nil {
		return 0, err
	}
	port := listener.Addr().(*net.TCPAddr).Port
	if err := listener.Close(); err != nil {
		return 0, err
	}
	return min(port, 60000), nil
}

func (f *fleet) storeAddress() string { return fmt.Sprintf("%s1:%d", f.prefix, f.ports.front) }

// nextIP returns an IP that no other machine has.
func (f *fleet) nextIP() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts++
	return fmt.Sprintf("%s%d", f.prefix, f.hosts)
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = f.record.WriteString(line)
}

// configure writes a configuration as the operator does.
func (f *fleet) configure(config map[string]any) {
	f.version += 3
	config["version"] = f.version
	f.store.putJSON("keyed.op", "config", config)
	f.note("operator: configuration %d acknowledged", f.version)
}

// start starts one of the project's programs on a machine.
func (f *fleet) start(roleName, node, zone, ip string) (*proc, error) {
	r, err := readRole(roleName)
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(r.template)
	if err != nil {
		return nil, err
	}
	class := map[string]string{"lobby": "front", "keeper": "side"}[roleName]
	p := &proc{name: node, ip: ip, fleet: f, role: r, config: filepath.Join(f.dir, node+".conf")}
	settings := render(string(template), settingsOf(node, class, zone, ip, f.ports, f.storeAddress()), nil, "")
	if os.Getenv("DEBUG") != "" {
		settings = strings.Replace(settings, "[process]", "[process]\nlog-level = debug", 1)
	}
	if err := os.WriteFile(p.config, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.procs = append(f.procs, p)
	f.mu.Unlock()
	return p, p.launch()
}

// launch starts the process, and starts it again when it ends.
func (p *proc) launch() error {
	words := strings.Fields(p.role.run)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SESAMEWELL_CONFIG=" + p.config}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	p.fleet.note("%s started, pid %d", p.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		down := p.down
		p.mu.Unlock()
		if down {
			return
		}
		p.fleet.note("%s ended: %v", p.name, err)
		time.Sleep(500 * time.Millisecond)
		p.mu.Lock()
		down = p.down
		p.mu.Unlock()
		if !down {
			_ = p.launch()
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (p *proc) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.note("%s gets %v", p.name, signal)
	_ = p.cmd.Process.Signal(signal)
}

// awaitReady waits until a lobby says that it is ready.
func (p *proc) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer := send(outgoing{address: fmt.Sprintf("%s:%d", p.ip, p.fleet.ports.ready), method: "GET", path: "/sesamewell/ready", timeout: time.Second})
		if answer.status == 200 {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// front returns the address of a lobby for clients.
func (p *proc) front() string { return fmt.Sprintf("%s:%d", p.ip, p.fleet.ports.front) }

// end kills all processes that were started.
func (f *fleet) end() {
	f.mu.Lock()
	procs := f.procs
	f.stopped = true
	f.mu.Unlock()
	for _, p := range procs {
		p.mu.Lock()
		p.down = true
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

func encode(value any) string {
	encoded, _ := json.Marshal(value)
	return string(encoded)
}
