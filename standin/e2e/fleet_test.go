// Package e2e tests the system end to end: all programs run as separate processes
// on loopback, with stand-ins for the platform and the backend servers.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/testkit"
)

const (
	waitTimeout    = 30 * time.Second // longest wait for any single condition
	tenantKey      = "proof-lantern-key"
	otherTenantKey = "proof-twisungane-key"
	fleetSecret    = "proof-fleet-secret"
)

// binDir is the directory of the programs, which are built once for all tests.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	for program, module := range map[string]string{"sesamewell": "sesamewell", "sesamewell-entry": "entry", "sesamewell-side": "side", "sesamewell-standin": "standin"} {
		args := []string{"build", "-o", filepath.Join(binDir, program), "."}
		if flag.Lookup("test.bench").Value.String() == "" {
			args = slices.Insert(args, 1, "-race")
		}
		build := exec.Command("go", args...)
		build.Dir = filepath.Join("..", "..", module)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

// process is a program that has been started.
type process struct {
	name     string
	cmd      *exec.Cmd
	log      *lockedBuffer
	exited   chan struct{}
	exitCode int
}

// lockedBuffer collects a program's output. It is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// signal sends a signal to the process.
func (p *process) signal(t testing.TB, signal syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// wait waits for the process to exit and returns its exit code.
func (p *process) wait(t testing.TB) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.exitCode
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit\n%s", p.name, p.log)
		return -1
	}
}

// fleet is a system of separate processes that run for one test.
type fleet struct {
	t                 testing.TB
	dir               string
	inventory         strings.Builder
	logAddress        string
	processSettings   string            // further lines of the settings section [process]
	platformSettings  string            // further lines of the settings section [platform]
	entryAddresses    []string          // addresses that accept callers' requests
	operatorAddresses map[string]string // addresses of the operators' pages by instance
	linkAddresses     map[string]string // addresses for calls between processes by instance
	backendAddresses  map[string]string // by backend server
	processes         map[string]*process
	domain            string // failure domain of the instances that are added from then on

	withoutSecret bool   // the processes do not prove the fleet's secret on their links
	keeperPort    string // port of all keepers
	build         string // directory of the programs that are started from then on, below binDir
	descriptors   int    // file descriptors of the processes that are started from then on; zero for no limit
}

// newFleet starts the log service and begins an inventory with the tenants, keys
// and the route of the models.
func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{
		t: t, dir: t.TempDir(), domain: "a", logAddress: testkit.FreeAddress(t),
		operatorAddresses: make(map[string]string), linkAddresses: make(map[string]string), backendAddresses: make(map[string]string), processes: make(map[string]*process),
	}
	f.start("log", "sesamewell-standin", "log", "--listen", f.logAddress)
	fmt.Fprintf(&f.inventory, `[tenant lantern]
rate = 1000000
burst = 10000000
[tenant twisungane]
rate = 1000000
burst = 10000000
[key lantern]
tenant = lantern
sha256 = %s
[key twisungane]
tenant = twisungane
sha256 = %s
[route models]
path = /v1
`, fleetstate.HashKey(tenantKey), fleetstate.HashKey(otherTenantKey))
	return f
}

// declareModel adds the engines' model to the inventory unless it is declared already.
func (f *fleet) declareModel() {
	if !strings.Contains(f.inventory.String(), "[model trail-writer]") {
		f.inventory.WriteString("[model trail-writer]\nmemory = 1GiB\n")
	}
}

// addEngine starts an engine and its side, and adds both to the inventory.
func (f *fleet) addEngine(name string, concurrency int, step time.Duration) {
	address := testkit.FreeAddress(f.t)
	f.start(name, "sesamewell-standin", "engine", "--listen", address, "--name", name, "--step", step.String(), "--preload")
	f.declareModel()
	fmt.Fprintf(&f.inventory, "[backend %s]\nkind = engine\nstatic = yes\nmemory = 80GiB\nslots = %d\n", name, concurrency)
	f.addSide("side-"+name, name, address, concurrency)
}

// addService starts a booking service and its side, and adds both to the
// inventory.
func (f *fleet) addService(name string) {
	address := testkit.FreeAddress(f.t)
	f.start(name, "sesamewell-standin", "service", "--listen", address, "--name", name)
	fmt.Fprintf(&f.inventory, `[backend %s]
kind = service
service = bookings
slots = 8
[route bookings]
path = /bookings
service = bookings
idempotent = no
`, name)
	f.addSide("side-"+name, name, address, 8)
}

func (f *fleet) addSide(name, backend, address string, concurrency int) {
	f.addSideWithSettings(name, backend, address, concurrency, "")
}

// addSideWithSettings starts a side and adds it to the inventory; settings are
// further lines of its settings file.
func (f *fleet) addSideWithSettings(name, backend, address string, concurrency int, settings string) {
	f.linkAddresses[name], f.operatorAddresses[name], f.backendAddresses[backend] = testkit.FreeAddress(f.t), testkit.FreeAddress(f.t), address
	f.writeSettings(name, fmt.Sprintf("[desk]\nlisten = %s\n[backend]\nname = %s\naddress = %s\nconcurrency = %d\n%s", f.linkAddresses[name], backend, address, concurrency, settings))
	f.startSide(name)
	f.declareInstance(name, "side", f.linkAddresses[name], "backend = "+backend+"\n")
}

// startSide starts or restarts a side whose settings file exists.
func (f *fleet) startSide(name string) {
	f.start(name, "sesamewell-side", filepath.Join(f.dir, name+".ini"))
}

// addEntry starts an entry and adds it to the inventory; settings are further
// lines of its settings file.
func (f *fleet) addEntry(name, settings string) {
	callers := testkit.FreeAddress(f.t)
	f.operatorAddresses[name] = testkit.FreeAddress(f.t)
	f.entryAddresses = append(f.entryAddresses, callers)
	f.linkAddresses[name] = testkit.FreeAddress(f.t)
	f.writeSettings(name, "[gate]\nlisten = "+callers+"\n[link]\nlisten = "+f.linkAddresses[name]+"\n"+settings)
	f.start(name, "sesamewell-entry", filepath.Join(f.dir, name+".ini"))
	f.declareInstance(name, "entry", f.linkAddresses[name], "")
}

// declareInstance adds an instance to the inventory.
func (f *fleet) declareInstance(name, role, link, attributes string) {
	fmt.Fprintf(&f.inventory, "[instance %s]\nrole = %s\nlink = %s\noperator = %s\ndomain = %s\n%s", name, role, link, f.operatorAddresses[name], f.domain, attributes)
}

func (f *fleet) writeSettings(name, settings string) {
	secret := fleetSecret
	if f.withoutSecret {
		secret = ""
	}
	text := fmt.Sprintf("[process]\ninstance = %s\ndomain = %s\nsecret = %s\noperator = %s\n%s[platform]\nlog = %s\npoll = 100ms\n%s%s", name, f.domain, secret, f.operatorAddresses[name], f.processSettings, f.logAddress, f.platformSettings, settings)
	if err := os.WriteFile(filepath.Join(f.dir, name+".ini"), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// apply publishes the inventory and waits until every entry has applied it and
// every side is ready.
func (f *fleet) apply() {
	f.t.Helper()
	f.awaitOK("log", "http://"+f.logAddress+"/read?from=0&wait=0s")
	path := f.writeInventory()
	apply := exec.Command(filepath.Join(binDir, "sesamewell"), "--log", f.logAddress, "apply", path)
	if out, err := apply.CombinedOutput(); err != nil {
		f.t.Fatalf("apply: %v\n%s", err, out)
	}
	for name, page := range f.operatorAddresses {
		f.awaitOK(name, "http://"+page+"/readyz")
	}
}

// writeInventory writes the inventory to a file and returns its path.
func (f *fleet) writeInventory() string {
	f.t.Helper()
	path := filepath.Join(f.dir, "inventory.ini")
	if err := os.WriteFile(path, []byte(f.inventory.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// awaitOK waits until url answers with status 200.
func (f *fleet) awaitOK(name, url string) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	f.t.Fatalf("%s is not ready\n%s", name, f.processes[name].log)
}

// start runs a program until it exits or the test ends.
func (f *fleet) start(name, program string, args ...string) {
	f.t.Helper()
	command := append([]string{filepath.Join(binDir, f.build, program)}, args...)
	if f.descriptors > 0 {
		command = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, f.descriptors)}, command...)
	}
	p := &process{name: name, cmd: exec.Command(command[0], command[1:]...), log: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[name] = p
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait()
		p.exitCode = p.cmd.ProcessState.ExitCode()
	}()
	f.t.Cleanup(func() { f.cleanUp(p) })
}

// cleanUp kills a process if it still runs and fails the test if its log reports
// a data race.
func (f *fleet) cleanUp(p *process) {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
	if strings.Contains(p.log.String(), "DATA RACE") {
		f.t.Errorf("%s has a data race:\n%s", p.name, p.log)
	}
}

// answer is the result of a caller's request.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the request failed or the body was truncated
}

// requestConfig describes a caller's request.
type requestConfig struct {
	method string // POST if empty
	path   string
	key    string
	body   string
	header map[string]string
}

// call sends one request to an entry and reads its answer to the end.
func (f *fleet) call(entry int, config requestConfig) answer {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	method := config.method
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.entryAddresses[entry]+config.path, strings.NewReader(config.body))
	if err != nil {
		return answer{err: err}
	}
	if config.key != "" {
		request.Header.Set("Authorization", "Bearer "+config.key)
	}
	for name, value := range config.header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// chatRequest returns a request for a streamed chat completion with the given
// number of tokens.
func chatRequest(key string, tokens int) requestConfig {
	return requestConfig{path: "/v1/chat/completions", key: key, body: chatBody(tokens, true)}
}

func chatBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"trail-writer","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, stream, tokens)
}

// checkChat returns an error unless a streamed chat completion is complete, with
// its tokens in order.
func checkChat(a answer, tokens int) error {
	if a.err != nil {
		return a.err
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", a.status, a.body)
	}
	next := 0
	for line := range strings.Lines(a.body) {
		if strings.Contains(line, `"content":"token`) {
			if !strings.Contains(line, fmt.Sprintf(`"content":"token%d "`, next)) {
				return fmt.Errorf("token %d is missing before %q", next, line)
			}
			next++
		}
	}
	if next != tokens || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		return fmt.Errorf("%d tokens of %d; ends in %q", next, tokens, a.body[max(len(a.body)-20, 0):])
	}
	return nil
}

// received holds what a stand-in received: the number of requests that it ran, and
// the headers and bodies of all requests.
type received struct {
	Runs  int    `json:"runs"`
	Bytes string `json:"bytes"`
}

func (f *fleet) received(backend string) received {
	f.t.Helper()
	var got received
	f.getJSON(f.backendAddresses[backend], "/received", &got)
	return got
}

// getJSON decodes the JSON body at address and path into value.
func (f *fleet) getJSON(address, path string, value any) {
	f.t.Helper()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		f.t.Fatal(err)
	}
}
