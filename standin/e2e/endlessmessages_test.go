package e2e

import (
	"context"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"maps"
	"net"
	"net/rpc"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/testkit"
)

// The tests of bytes without end share the limits of the tests of untrusted clients.
const (
	endlessCallers = 16                     // connections that act at once
	endlessPiece   = 64 << 10               // bytes written at once
	rpcCallLimit   = 10 * time.Second       // limit on an ordinary call between processes
	faultTime      = 200 * time.Millisecond // time for which a server misbehaves
)

// answerScript writes an answer to a connection until that breaks.
type answerScript func(conn net.Conn) error

// endlessAnswer returns a script that writes a start, and then pieces of the repeated text
// without end.
func endlessAnswer(start, repeated string) answerScript {
	piece := strings.Repeat(repeated, max(endlessPiece/len(repeated), 1))
	return func(conn net.Conn) error {
		if err := write(conn, start); err != nil {
			return err
		}
		return unread(conn, piece)
	}
}

// peaks watches processes while servers misbehave.
type peaks struct {
	processes []*process
}

// reset lets the peaks of the resident sets begin at what is resident now.
func (p peaks) reset(t *testing.T) {
	t.Helper()
	for _, watched := range p.processes {
		if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", watched.cmd.Process.Pid), []byte("5"), 0); err != nil {
			t.Fatal(err)
		}
	}
}

// check compares the processes with their limits.
func (p peaks) check(t *testing.T) {
	t.Helper()
	for _, watched := range p.processes {
		select {
		case <-watched.exited:
			t.Fatalf("%s ended with exit code %d\n%s", watched.name, watched.exitCode, tail(watched.log.String()))
		default:
		}
		got := readResources(watched.cmd.Process.Pid)
		t.Logf("%s: %d MB at most of %d, %d descriptors of %d", watched.name, got.residentKB>>10, clientMemoryMB, got.descriptors, clientDescriptors)
		if got.residentKB > clientMemoryMB<<10 {
			t.Errorf("%s: %d MB resident, more than %d", watched.name, got.residentKB>>10, clientMemoryMB)
		}
		if got.descriptors >= clientDescriptors {
			t.Errorf("%s: %d descriptors open, with a limit of %d", watched.name, got.descriptors, clientDescriptors)
		}
	}
}

// startKeeper starts a keeper beside an engine. It returns its address for lobbies.
func (f *fleet) startKeeper(engine string) (*process, string) {
	operator, link := testkit.FreeAddress(f.t), testkit.FreeAddress(f.t)
	p := f.startPlain("keeper-1", "sesamewell-keeper", fmt.Sprintf("[process]\ninstance = keeper-1\nmemory = %dMiB\noperator = %s\n[door]\nlisten = %s\n[engine]\naddress = %s\nlook = 20ms\ntimeout = 100ms\n",
		clientMemoryMB, operator, link, engine))
	f.awaitOK("keeper-1", "http://"+operator+"/healthz")
	return p, link
}

// newPeerFleet starts an entry and a side before a sound service, which prove no secret to
// each other. The log is reached at the address that front returns for its own.
func newPeerFleet(t *testing.T, front func(log string) string) (*fleet, door) {
	if err := buildPlain(); err != nil {
		t.Fatal(err)
	}
	f := newFleet(t)
	f.build = plainBuild
	f.withoutSecret = true
	f.logAddress = front(f.logAddress)
	f.processSettings = entryMemory + "drain-limit = 4s\n"
	f.inventory.WriteString("[backend peer]\nkind = service\nservice = plain\nslots = 512\n[route plain]\npath = /plain\nservice = plain\nidempotent = yes\n")
	f.addSide("side-peer", "peer", newPeer(t), 512)
	f.addEntry("entry-1", "")
	f.apply()
	return f, door{address: f.entryAddresses[0], lines: "Authorization: Bearer " + tenantKey + "\r\n", quick: "/plain/quick"}
}

// gobLength returns the encoded length of a gob message.
func gobLength(length uint64) string {
	return string(binary.BigEndian.AppendUint64([]byte{0xf8}, length))
}

// gobDefinition returns a gob message that defines a type with a long name.
func gobDefinition(id int64) string {
	const commonType = "\x03\x01\x01" // of a struct, whose name follows
	name := strings.Repeat("x", endlessPiece)
	body := string(binary.BigEndian.AppendUint64([]byte{0xf8}, uint64(^-id<<1|1))) + commonType +
		string(binary.BigEndian.AppendUint32([]byte{0xfc}, uint32(len(name)))) + name + "\x00\x00\x00"
	return gobLength(uint64(len(body))) + body
}

// defineTypes defines types without end.
func defineTypes(conn net.Conn) error {
	for id := int64(65); ; id++ {
		if err := write(conn, gobDefinition(id)); err != nil {
			return err
		}
	}
}

// endlessMessages are what a faulty process of the system writes to another one, as a
// call or as a reply.
var endlessMessages = map[string]answerScript{
	"absurd length":         endlessAnswer(gobLength(1<<63), "x"),
	"longest length of gob": endlessAnswer(gobLength(1<<30-1), "x"),
	"64 MiB, half sent": func(conn net.Conn) error {
		if err := write(conn, gobLength(64<<20), strings.Repeat("x", 32<<20)); err != nil {
			return err
		}
		return hold(conn)
	},
	"garbage":          endlessAnswer("", "\x01\xff\x7f"),
	"type definitions": defineTypes,
	"nothing":          hold,
}

// endlessCalls returns a script that makes a call again and again and reads no reply.
func endlessCalls(method string, args any) answerScript {
	return func(conn net.Conn) error {
		encoder := gob.NewEncoder(conn)
		for sequence := uint64(0); ; sequence++ {
			if err := encoder.Encode(rpc.Request{ServiceMethod: method, Seq: sequence}); err != nil {
				return err
			}
			if err := encoder.Encode(args); err != nil {
				return err
			}
		}
	}
}

// endlessReplies returns a script that sends errors as replies to calls.
func endlessReplies(text string) answerScript {
	return func(conn net.Conn) error {
		encoder := gob.NewEncoder(conn)
		for sequence := uint64(0); ; sequence++ {
			if err := encoder.Encode(rpc.Response{Seq: sequence, Error: text}); err != nil {
				return err
			}
			if err := encoder.Encode(struct{}{}); err != nil {
				return err
			}
		}
	}
}

// rawMessage is an argument of a call in the encoding of the system's messages.
type rawMessage []byte

// MarshalBinary returns the message.
func (m rawMessage) MarshalBinary() ([]byte, error) { return m, nil }

// absurdBatch is the start of a batch that is said to have very many requests.
var absurdBatch = rawMessage("\x95\xa1e\xa1s\xdd\xff\xff\xff\xff")

// endlessSubmits submits requests with large bodies to a side.
func endlessSubmits(conn net.Conn) error {
	encoder := gob.NewEncoder(conn)
	body := []byte(strings.Repeat("x", maxBody))
	for sequence := uint64(0); ; sequence++ {
		submit := protocol.NewSubmit(protocol.SubmitConfig{Attempt: fmt.Sprint(conn.LocalAddr(), sequence), Method: "POST", Path: "/slow", Body: body, Remaining: time.Minute})
		if err := encoder.Encode(rpc.Request{ServiceMethod: protocol.SubmitMethod, Seq: sequence}); err != nil {
			return err
		}
		if err := encoder.Encode(protocol.NewBatch(protocol.BatchConfig{Entry: "e", Submits: []protocol.Submit{submit}})); err != nil {
			return err
		}
	}
}

// playMessages lets a crowd write each message to the RPC port of a process. An ordinary
// request must be answered afterwards.
func playMessages(t *testing.T, p *process, port string, calls map[string]answerScript, awaitOrdinary func(t *testing.T)) {
	scripts := maps.Clone(endlessMessages)
	maps.Copy(scripts, calls)
	scripts["calls of no method"] = endlessCalls("No.Such", struct{}{})
	scripts["calls of a method with a long name"] = endlessCalls(strings.Repeat("x", 1<<20), struct{}{})
	scripts["calls with a body within the limit"] = endlessCalls("No.Such", make([]byte, 1<<20))
	scripts["calls with a long body"] = endlessCalls("No.Such", make([]byte, 16<<20))
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			watched := peaks{processes: []*process{p}}
			watched.reset(t)
			c := startCrowd(door{address: port}, endlessCallers, func(_ door, conn net.Conn) error { return script(conn) })
			time.Sleep(faultTime)
			watched.check(t)
			c.stop()
			awaitOrdinary(t)
			watched.check(t)
		})
	}
}

// TestEndlessMessagesToAKeeper guards against a keeper that keeps what a peer sends.
func TestEndlessMessagesToAKeeper(t *testing.T) {
	f, _ := newLobbyFleet(t)
	p, link := f.startKeeper(newPeer(t))
	client := peerrpc.NewClient(peerrpc.ClientConfig{Address: link, DialTimeout: time.Second})
	defer client.Close()
	models := []protocol.ModelSizeConfig{{Name: strings.Repeat("m", 256<<10)}}
	calls := map[string]answerScript{
		"assignments": endlessCalls(protocol.AssignMethod, protocol.NewAssign(protocol.AssignConfig{Planner: "p", Models: models})),
		"fetches":     endlessCalls(protocol.FetchMethod, protocol.NewFetch(protocol.FetchConfig{Model: "m", Adapter: "a"})),
	}
	playMessages(t, p, link, calls, func(t *testing.T) {
		if err := client.Call(protocol.AssignMethod, protocol.NewAssign(protocol.AssignConfig{}), &protocol.Nothing{}, rpcCallLimit); err != nil {
			t.Errorf("ordinary call of the keeper: %v", err)
		}
	})
}

// TestEndlessMessagesToALobby guards against a lobby that keeps what a peer sends.
func TestEndlessMessagesToALobby(t *testing.T) {
	f, store := newLobbyFleet(t)
	p, addresses := f.startLobby("lobby-1", store)
	d := callersDoor(addresses.callers)
	calls := map[string]answerScript{
		"bundles, replies kept": endlessCalls(protocol.BundleMethod, protocol.Nothing{}),
	}
	playMessages(t, p, addresses.link, calls, func(t *testing.T) { awaitAnswer(t, p, d) })
}

// TestEndlessMessagesToEntryAndSide guards against an entry or a side that keeps what a peer
// sends, as a call or as a reply.
func TestEndlessMessagesToEntryAndSide(t *testing.T) {
	f, d := newPeerFleet(t, func(log string) string { return log })
	entry, side := f.processes["entry-1"], f.processes["side-peer"]
	awaitOrdinary := func(t *testing.T) { awaitAnswer(t, entry, d) }
	t.Run("calls of a side", func(t *testing.T) {
		calls := map[string]answerScript{
			"absurd batch": endlessCalls(protocol.SubmitMethod, absurdBatch),
			"large bodies": endlessSubmits,
			"reads":        endlessCalls(protocol.ReadMethod, protocol.NewRead(protocol.ReadConfig{Entry: "e", Wait: time.Second})),
		}
		playMessages(t, side, f.linkAddresses["side-peer"], calls, awaitOrdinary)
	})
	t.Run("calls of an entry", func(t *testing.T) {
		playMessages(t, entry, f.linkAddresses["entry-1"], nil, awaitOrdinary)
	})
	t.Run("replies to an entry", func(t *testing.T) {
		peer, address := startFaultyPeer(t, f.linkAddresses["side-peer"])
		f.republish(func(inventory string) string {
			return strings.Replace(inventory, f.linkAddresses["side-peer"], address, 1)
		})
		act := func(ctx context.Context) {
			c := startCrowd(d, endlessCallers, func(d door, conn net.Conn) error { return write(conn, d.withBody(d.quick, "{}")) })
			<-ctx.Done()
			c.stop()
		}
		playReplies(t, entry, peer, act, awaitOrdinary)
	})
}

// faultyPeer is a process of the system that answers calls by a script, or passes them on
// to a sound process while it has none.
type faultyPeer struct {
	script atomic.Pointer[answerScript]
	sound  string // address of the sound process

	mu    sync.Mutex
	conns []net.Conn
}

// startFaultyPeer starts a faulty peer before a sound one. It returns its address.
func startFaultyPeer(t testing.TB, sound string) (*faultyPeer, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultyPeer{sound: sound}
	var served sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		p.closeAll()
		served.Wait()
	})
	served.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.add(conn)
			served.Go(func() { p.serve(conn) })
		}
	})
	return p, listener.Addr().String()
}

// play replaces the script and closes all connections.
func (p *faultyPeer) play(script *answerScript) {
	p.script.Store(script)
	p.closeAll()
}

func (p *faultyPeer) add(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conn)
}

func (p *faultyPeer) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}

func (p *faultyPeer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	script := p.script.Load()
	if script != nil {
		_, _ = conn.Read(make([]byte, 1)) // the start of a call
		_ = (*script)(conn)
		return
	}
	to, err := net.Dial("tcp", p.sound)
	if err != nil {
		return
	}
	p.add(to)
	go func() {
		_, _ = io.Copy(to, conn)
		_ = to.Close()
	}()
	_, _ = io.Copy(conn, to)
}

// playReplies lets a faulty peer send each reply to a process that calls it. An ordinary
// request must be answered afterwards.
func playReplies(t *testing.T, p *process, peer *faultyPeer, act func(ctx context.Context), awaitOrdinary func(t *testing.T)) {
	scripts := maps.Clone(endlessMessages)
	scripts["errors"] = endlessReplies("e")
	scripts["long errors"] = endlessReplies(strings.Repeat("e", 16<<20))
	for name, reply := range scripts {
		t.Run(name, func(t *testing.T) {
			watched := peaks{processes: []*process{p}}
			watched.reset(t)
			peer.play(&reply)
			ctx, cancel := context.WithTimeout(context.Background(), faultTime)
			defer cancel()
			act(ctx)
			<-ctx.Done()
			watched.check(t)
			peer.play(nil)
			awaitOrdinary(t)
			watched.check(t)
		})
	}
}

// TestEndlessRepliesToALobby guards against a lobby that keeps what a keeper replies.
func TestEndlessRepliesToALobby(t *testing.T) {
	f, store := newLobbyFleet(t)
	peer, address := startFaultyPeer(t, testkit.FreeAddress(t))
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	f.keeperPort = port
	p, addresses := f.startLobby("lobby-1", store)
	d := callersDoor(addresses.callers)
	adapter := d
	adapter.lines = strings.Replace(d.lines, "Model: m\r\n", "Model: m/a1\r\n", 1)
	act := func(ctx context.Context) {
		c := startCrowd(adapter, endlessCallers, func(d door, conn net.Conn) error { return write(conn, d.withBody(d.stream, d.body)) })
		<-ctx.Done()
		c.stop()
	}
	playReplies(t, p, peer, act, func(t *testing.T) { awaitAnswer(t, p, d) })
}

// republish changes the inventory and puts it in force.
func (f *fleet) republish(change func(inventory string) string) {
	f.t.Helper()
	inventory := change(f.inventory.String())
	f.inventory.Reset()
	f.inventory.WriteString(inventory)
	f.apply()
}
