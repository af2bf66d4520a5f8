package peerrpc_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/testkit"
)

// Echo is the service that the tests call.
type Echo struct{}

// Say stores text in reply, or returns an error if text is "fail".
func (Echo) Say(text string, reply *string) error {
	if text == "fail" {
		return errors.New("made to fail")
	}
	*reply = text
	return nil
}

func newIdentity(t *testing.T, secret string) *peerrpc.Identity {
	t.Helper()
	if secret == "" {
		return nil
	}
	identity, err := peerrpc.NewIdentity(secret)
	if err != nil {
		t.Fatal(err)
	}
	return identity
}

// startServer starts a server and returns its address.
func startServer(t *testing.T, identity *peerrpc.Identity) string {
	t.Helper()
	return startServerWith(t, peerrpc.ServerConfig{Identity: identity})
}

func startServerWith(t *testing.T, config peerrpc.ServerConfig) string {
	t.Helper()
	address := testkit.FreeAddress(t)
	config.Address, config.Log = address, testkit.DiscardLog()
	config.Services = []peerrpc.Service{{Name: "Echo", Receiver: Echo{}}}
	server := peerrpc.NewServer(config)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	for range 200 {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return address
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("server did not start")
	return ""
}

func TestPeersNeedTheSameSecret(t *testing.T) {
	const secret, other = "the fleet's own secret", "somebody else's secret"
	cases := map[string]struct {
		server, client string
		want           string
	}{
		"same secret":              {server: secret, client: secret, want: "hello"},
		"plain text on both sides": {want: "hello"},
		"different secret":         {server: secret, client: other},
		"client without a secret":  {server: secret},
		"server without a secret":  {client: secret},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, newIdentity(t, tc.server))
			client := peerrpc.NewClient(peerrpc.ClientConfig{Address: address, DialTimeout: 200 * time.Millisecond, Identity: newIdentity(t, tc.client)})
			defer client.Close()
			var got string
			err := client.Call("Echo.Say", "hello", &got, 200*time.Millisecond)
			if (err == nil) != (tc.want != "") {
				t.Errorf("error = %v", err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSecretIsOptionalOnLoopbackOnly(t *testing.T) {
	cases := map[string]struct {
		secret, address string
		want            error
	}{
		"long enough":               {secret: "sixteen bytes ok", address: "10.0.0.1:7000"},
		"too short":                 {secret: "short", address: "127.0.0.1:7000", want: peerrpc.ErrWeakSecret},
		"missing on loopback":       {address: "127.0.0.1:7000"},
		"missing elsewhere":         {address: "10.0.0.1:7000", want: peerrpc.ErrWeakSecret},
		"missing on all interfaces": {address: "0.0.0.0:7000", want: peerrpc.ErrWeakSecret},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := peerrpc.IdentityFor(tc.secret, tc.address); !errors.Is(err, tc.want) {
				t.Errorf("error = %v, want %v", err, tc.want)
			}
		})
	}
}

func TestCallErrorsClassifyOutcome(t *testing.T) {
	address := startServer(t, nil)
	cases := map[string]struct {
		address     string
		text        string
		serverError bool
		dialError   bool
	}{
		"method returns an error": {address: address, text: "fail", serverError: true},
		"no listener":             {address: "127.0.0.1:1", text: "hello", dialError: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			client := peerrpc.NewClient(peerrpc.ClientConfig{Address: tc.address, DialTimeout: time.Second})
			defer client.Close()
			var got string
			err := client.Call("Echo.Say", tc.text, &got, 5*time.Second)
			if diff := cmp.Diff(tc.serverError, peerrpc.IsServerError(err)); diff != "" {
				t.Errorf("server error (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.dialError, errors.Is(err, peerrpc.ErrDial)); diff != "" {
				t.Errorf("dial error (-want +got):\n%s", diff)
			}
		})
	}
}

func TestClientRedialsAfterClose(t *testing.T) {
	client := peerrpc.NewClient(peerrpc.ClientConfig{Address: startServer(t, nil), DialTimeout: time.Second})
	defer client.Close()
	for range 3 {
		var got string
		if err := client.Call("Echo.Say", "hello", &got, 5*time.Second); err != nil || got != "hello" {
			t.Fatalf("Call = %q, %v", got, err)
		}
		client.Close()
	}
}

// TestLongMessagesAreNotRead guards against a process that keeps what a peer sends without
// end: a call or a reply beyond the limit ends its connection, the next call finds a new one.
func TestLongMessagesAreNotRead(t *testing.T) {
	const limit, overhead = 64 << 10, 64 // bytes
	cases := map[string]struct {
		server, client int64 // limits
		length         int
		want           bool
	}{
		"within both limits": {server: limit, client: limit, length: limit - overhead, want: true},
		"long call":          {server: limit, client: 2 * limit, length: limit + 1},
		"long reply":         {server: 2 * limit, client: limit, length: limit + 1},
		"default limits":     {length: peerrpc.DefaultMaxMessage - overhead, want: true},
		"beyond the default": {length: peerrpc.DefaultMaxMessage + 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address := startServerWith(t, peerrpc.ServerConfig{MaxMessage: tc.server})
			client := peerrpc.NewClient(peerrpc.ClientConfig{Address: address, DialTimeout: time.Second, MaxMessage: tc.client})
			defer client.Close()
			for _, call := range []struct {
				length int
				want   bool
			}{{tc.length, tc.want}, {1, true}} {
				text, got := strings.Repeat("x", call.length), ""
				err := client.Call("Echo.Say", text, &got, 5*time.Second)
				if ok := err == nil && got == text; ok != call.want {
					t.Errorf("%d bytes: %d bytes back, %v", call.length, len(got), err)
				}
			}
		})
	}
}

// relayBytes passes on connections to an address byte by byte, and returns the address for
// them.
func relayBytes(t *testing.T, to string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	relay := func(to, from net.Conn) {
		defer func() { _ = to.Close() }()
		buffer := make([]byte, 1)
		for {
			if _, err := from.Read(buffer); err != nil {
				return
			}
			if _, err := to.Write(buffer); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				return
			}
			go relay(far, near)
			go relay(near, far)
		}
	}()
	return listener.Addr().String()
}

// TestCallsInPiecesAreReadWhole makes calls through a relay that sends byte by byte.
func TestCallsInPiecesAreReadWhole(t *testing.T) {
	cases := map[string]struct{ secret string }{
		"plain text": {},
		"TLS":        {secret: "the fleet's own secret"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			identity := newIdentity(t, tc.secret)
			client := peerrpc.NewClient(peerrpc.ClientConfig{Address: relayBytes(t, startServer(t, identity)), Identity: identity, DialTimeout: 5 * time.Second})
			defer client.Close()
			for _, text := range []string{"\r\n\r\nhello\n", "", "you"} {
				var reply string
				if err := client.Call("Echo.Say", text, &reply, 5*time.Second); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(text, reply); diff != "" {
					t.Errorf("reply (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// TestMessagesThatAreNoGobEndTheConnection plays the starts of messages that a decoder
// would wait for or keep.
func TestMessagesThatAreNoGobEndTheConnection(t *testing.T) {
	definition := "\xfe\x01\x04\xff\x83" + strings.Repeat("x", 0x102) // of a type, by its negative ID
	cases := map[string]string{
		"longest length of gob": "\xfc\x3f\xff\xff\xff",
		"absurd length":         "\xf8\xff\xff\xff\xff\xff\xff\xff\xff",
		"length of nine bytes":  "\xf7\x01",
		"definitions":           strings.Repeat(definition, 2048),
	}
	for name, message := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", startServer(t, nil))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			go func() { _, _ = io.WriteString(conn, message) }()
			_, _ = io.Copy(io.Discard, conn) // returns at the end of the connection
		})
	}
}

// TestClientsAreBounded guards against clients, each with a connection, for every address that
// was ever called.
func TestClientsAreBounded(t *testing.T) {
	cases := map[string]struct {
		others int  // addresses that are called after the first one
		in     bool // the first one is called meanwhile
		same   bool // its client is kept
	}{
		"few":                {others: 10, same: true},
		"most":               {others: 1023, same: true},
		"more":               {others: 1024},
		"more, still in use": {others: 3000, in: true, same: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			clients := peerrpc.NewClients(func(address string) *peerrpc.Client {
				return peerrpc.NewClient(peerrpc.ClientConfig{Address: address, DialTimeout: time.Second})
			})
			first := clients.For("127.0.0.1:1")
			for n := range tc.others {
				clients.For(fmt.Sprint("10.0.0.1:", n+1))
				if tc.in && n%100 == 0 {
					clients.For("127.0.0.1:1")
				}
			}
			if diff := cmp.Diff(tc.same, clients.For("127.0.0.1:1") == first); diff != "" {
				t.Errorf("the first client is kept (-want +got):\n%s", diff)
			}
		})
	}
}
