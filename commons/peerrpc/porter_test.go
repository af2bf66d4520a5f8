package peerrpc_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/backstage"
	"sesamewell.example/commons/peerrpc"
)

// Echo is the receiver that the tests call.
type Echo struct{}

// Say returns what it is given.
func (Echo) Say(word string, reply *string) error {
	if word == "fail" {
		return errors.New("made to fail")
	}
	*reply = word
	return nil
}

func identity(t *testing.T, secret string) *peerrpc.Identity {
	t.Helper()
	if secret == "" {
		return nil
	}
	made, err := peerrpc.NewIdentity(secret)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// open starts a door and returns its address.
func open(t *testing.T, own *peerrpc.Identity) string {
	t.Helper()
	address := backstage.FreeAddress(t)
	log := backstage.Quiet()
	door := peerrpc.NewServer(peerrpc.ServerConfig{
		Address: address, Identity: own, Log: log,
		Services: []peerrpc.Service{{Name: "Echo", Receiver: Echo{}}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- door.Serve(ctx) }()
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
	t.Fatal("the door did not open")
	return ""
}

func TestOnlyTheFleetsOwnProcessesMayCall(t *testing.T) {
	const secret, other = "the fleet's own secret", "somebody else's secret"
	cases := map[string]struct {
		door, line string
		want       string
	}{
		"same secret":        {door: secret, line: secret, want: "hello"},
		"plain text on both": {want: "hello"},
		"other secret":       {door: secret, line: other},
		"caller without one": {door: secret},
		"door without one":   {line: secret},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address := open(t, identity(t, tc.door))
			line := peerrpc.NewClient(peerrpc.ClientConfig{Address: address, DialTimeout: 200 * time.Millisecond, Identity: identity(t, tc.line)})
			defer line.Close()
			var got string
			err := line.Call("Echo.Say", "hello", &got, 200*time.Millisecond)
			if (err == nil) != (tc.want != "") {
				t.Errorf("error = %v", err)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSecretMayBeMissingOnLoopbackOnly(t *testing.T) {
	cases := map[string]struct {
		secret, address string
		want            error
	}{
		"long enough":            {secret: "sixteen bytes ok", address: "10.0.0.1:7000"},
		"too short":              {secret: "short", address: "127.0.0.1:7000", want: peerrpc.ErrWeakSecret},
		"missing on loopback":    {address: "127.0.0.1:7000"},
		"missing elsewhere":      {address: "10.0.0.1:7000", want: peerrpc.ErrWeakSecret},
		"missing on all of them": {address: "0.0.0.0:7000", want: peerrpc.ErrWeakSecret},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := peerrpc.IdentityFor(tc.secret, tc.address); !errors.Is(err, tc.want) {
				t.Errorf("error = %v, want %v", err, tc.want)
			}
		})
	}
}

func TestErrorsTellWhatWasSent(t *testing.T) {
	address := open(t, nil)
	cases := map[string]struct {
		address string
		word    string
		refused bool
		dial    bool
	}{
		"method fails": {address: address, word: "fail", refused: true},
		"nobody there": {address: "127.0.0.1:1", word: "hello", dial: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			line := peerrpc.NewClient(peerrpc.ClientConfig{Address: tc.address, DialTimeout: time.Second})
			defer line.Close()
			var got string
			err := line.Call("Echo.Say", tc.word, &got, 5*time.Second)
			if diff := cmp.Diff(tc.refused, peerrpc.IsServerError(err)); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.dial, errors.Is(err, peerrpc.ErrDial)); diff != "" {
				t.Errorf("not dialled (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLineDialsAnewAfterAFailure(t *testing.T) {
	line := peerrpc.NewClient(peerrpc.ClientConfig{Address: open(t, nil), DialTimeout: time.Second})
	defer line.Close()
	for range 3 {
		var got string
		if err := line.Call("Echo.Say", "hello", &got, 5*time.Second); err != nil || got != "hello" {
			t.Fatalf("Call = %q, %v", got, err)
		}
		line.Close()
	}
}
