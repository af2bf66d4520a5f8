package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Settings of the processes, as a small deployment has them.
const (
	readyPort    = 8224
	frontPort    = 8221
	internalPort = 7600
	startTimeout = 15 * time.Second
)

// machine is one machine of the deployment. Each has a loopback address of its own, so that
// all can use the same ports.
type machine struct {
	name, ip, zone, app string
	role                string // lobby or keeper
}

// fleet starts the project's processes and ends them.
type fleet struct {
	root, dir string // of the repository; for settings and logs
	record    *record
	store     string // address of the store
	processes []*process
}

// process is one running process of the project.
type process struct {
	fleet   *fleet
	machine machine
	cmd     *exec.Cmd
	exited  chan struct{}
	starts  int
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m machine) (*process, error) {
	p := &process{fleet: f, machine: m}
	f.processes = append(f.processes, p)
	return p, p.launch()
}

// launch starts the process, for the first time or again.
func (p *process) launch() error {
	f, m := p.fleet, p.machine
	command, template, err := f.roleOf(m.role)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, m.name+".ini")
	if err := os.WriteFile(path, []byte(render(template, f.fields(m))), 0o600); err != nil {
		return err
	}
	p.starts++
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s.%d.log", m.name, p.starts)))
	if err != nil {
		return err
	}
	defer log.Close()
	words := strings.Fields(command)
	p.cmd = exec.Command(filepath.Join(f.root, words[0]), words[1:]...)
	p.cmd.Dir = f.root
	p.cmd.Env = append(os.Environ(), "SESAMEWELL_CONFIG="+path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	f.record.printf("process %s started, pid %d", m.name, p.cmd.Process.Pid)
	exited := make(chan struct{})
	p.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		f.record.printf("process %s ended: %v", m.name, cmd.ProcessState)
		close(exited)
	}(p.cmd)
	return nil
}

// kill ends the process as the loss of its power does.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) signal(s syscall.Signal) {
	p.fleet.record.printf("process %s gets %v", p.machine.name, s)
	_ = p.cmd.Process.Signal(s)
}

// front returns the address for clients.
func (p *process) front() string { return net.JoinHostPort(p.machine.ip, strconv.Itoa(frontPort)) }

// awaitReady waits until the process answers readiness probes with 200.
func (p *process) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	url := "http://" + net.JoinHostPort(p.machine.ip, strconv.Itoa(readyPort)) + "/sesamewell/ready"
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(url)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.fleet.record.printf("process %s is ready", p.machine.name)
			return nil
		}
	}
	return fmt.Errorf("process %s is not ready", p.machine.name)
}

// close ends all processes.
func (f *fleet) close() {
	for _, p := range f.processes {
		select {
		case <-p.exited:
		default:
			p.kill()
		}
	}
}

var (
	runLine      = regexp.MustCompile(`(?m)^run = "(.*)"$`)
	templateLine = regexp.MustCompile(`(?m)^template = "(.*)"$`)
)

// roleOf returns the command and the settings template of a role in the deploy file.
func (f *fleet) roleOf(role string) (command, template string, err error) {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return "", "", err
	}
	_, section, ok := strings.Cut(string(text), "[roles."+role+"]")
	if !ok {
		return "", "", fmt.Errorf("no role %s in the deploy file", role)
	}
	section, _, _ = strings.Cut(section, "\n[")
	run, path := runLine.FindStringSubmatch(section), templateLine.FindStringSubmatch(section)
	if run == nil || path == nil {
		return "", "", fmt.Errorf("role %s has no command or template", role)
	}
	content, err := os.ReadFile(filepath.Join(f.root, path[1]))
	return run[1], string(content), err
}

// fields returns the values that the platform fills into a template for a machine.
func (f *fleet) fields(m machine) map[string]string {
	memory := map[string]string{"lobby": "284", "keeper": "216"}[m.role]
	return map[string]string{
		"node_name": m.name, "ip": m.ip, "zone": m.zone, "app": m.app,
		"limits.memory_mb": memory, "bounds.grace_s": "8", "internal_port_range.0": strconv.Itoa(internalPort),
		"platform.address": f.store, "bounds.drain_ms": "2000", "bounds.contact_ms": "3000",
		"listen_addresses.front":       net.JoinHostPort(m.ip, strconv.Itoa(frontPort)),
		"listen_addresses.ready":       net.JoinHostPort(m.ip, strconv.Itoa(readyPort)),
		"bounds.origin_rate_overshoot": "1.1", "bounds.retry_budget_ratio": "0.2", "bounds.budget_extra_retries": "54", "bounds.budget_window_s": "10",
	}
}

var (
	zonesSection    = regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
	optionalSection = regexp.MustCompile(`\{\{#([a-z_.]+)\}\}.*?\{\{/[a-z_.]+\}\}`)
	placeholder     = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in a template. Sections of values that the deployment does not have are left
// out.
func render(template string, fields map[string]string) string {
	text := zonesSection.ReplaceAllStringFunc(template, func(section string) string {
		var out strings.Builder
		body := zonesSection.FindStringSubmatch(section)[1]
		for _, zone := range []string{"zone-a", "zone-b"} {
			out.WriteString(strings.NewReplacer("{{@}}", zone, "{{.}}", "region").Replace(body))
		}
		return out.String()
	})
	text = optionalSection.ReplaceAllString(text, "")
	return placeholder.ReplaceAllStringFunc(text, func(p string) string { return fields[placeholder.FindStringSubmatch(p)[1]] })
}
