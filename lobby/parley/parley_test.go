package parley_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
	"sesamewell.example/lobby/parley"
)

const patience = 10 * time.Second

// lobby is one end of the talk.
type lobby struct {
	door    string
	parley  *parley.Parley
	heard   chan notice.Digest
	lobbies chan int
}

func (l *lobby) Heard(digest notice.Digest) { l.heard <- digest }
func (l *lobby) Peopled(lobbies int)        { l.lobbies <- lobbies }
func (l *lobby) Newest() notice.Bundle      { return notice.NewBundle(notice.BundleConfig{}) }

func newLobby(t *testing.T) *lobby {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	door := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := &lobby{door: door, heard: make(chan notice.Digest, 64), lobbies: make(chan int, 64)}
	l.parley = parley.New(parley.Config{
		Self: door, Hearer: l, Log: logrus.NewEntry(log),
		Dial: func(address string) parley.Line {
			return porter.NewLine(porter.LineConfig{Address: address, DialTimeout: time.Second})
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = l.parley.Serve(ctx) }()
	go func() {
		_ = porter.NewDoor(porter.DoorConfig{
			Address: door, Log: logrus.NewEntry(log),
			Services: []porter.Service{{Name: notice.LobbyService, Receiver: parley.NewDesk(l.parley)}},
		}).Serve(ctx)
	}()
	return l
}

func receive[T any](t *testing.T, c chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal("nothing was heard")
		panic("not reached")
	}
}

// send repeats a digest until the other lobby has heard one.
func send(t *testing.T, from, to *lobby, digest notice.Digest) notice.Digest {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if err := from.parley.Send(digest); err != nil {
			t.Fatal(err)
		}
		select {
		case heard := <-to.heard:
			return heard
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Fatal("the digest was not heard")
	panic("not reached")
}

func TestLobbiesMeetAndTellEachOther(t *testing.T) {
	a, b := newLobby(t), newLobby(t)
	if err := a.parley.Members([]string{a.door, b.door}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(2, receive(t, a.lobbies)); diff != "" {
		t.Errorf("lobbies (-want +got):\n%s", diff)
	}
	config := notice.DigestConfig{
		Sender: a.door, Incarnation: 7, Serial: 3, Charter: 9,
		Spent: map[string]float64{"t": 12}, Asked: map[string]float64{"m": 0.5},
		Loads: []notice.LoadConfig{{Backend: "e1", Open: 2, Reading: time.Millisecond, Silent: true}},
		Plan:  map[string][]string{"e1": {"m"}},
	}
	heard := send(t, a, b, notice.NewDigest(config))
	got := notice.DigestConfig{
		Sender: heard.Sender(), Incarnation: heard.Incarnation(), Serial: heard.Serial(), Charter: heard.Charter(),
		Spent: heard.Spent(), Asked: heard.Asked(), Loads: heard.Loads(), Plan: heard.Plan(),
	}
	if diff := cmp.Diff(config, got); diff != "" {
		t.Errorf("digest (-want +got):\n%s", diff)
	}
	// b has met a by its call, without a list.
	if diff := cmp.Diff(2, receive(t, b.lobbies)); diff != "" {
		t.Errorf("lobbies (-want +got):\n%s", diff)
	}
	send(t, b, a, notice.NewDigest(notice.DigestConfig{Sender: b.door}))
}
