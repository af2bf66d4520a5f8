package membership

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/peerrpc"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/testkit"
)

// fakeSide refuses each read whose number is not above the last one of the same
// entry.
type fakeSide struct {
	mu      sync.Mutex
	numbers map[string]uint64
}

// Read is the net/rpc method.
func (s *fakeSide) Read(read protocol.Read, pages *protocol.Pages) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if read.Number() <= s.numbers[read.Entry()] {
		return errors.New("superseded")
	}
	s.numbers[read.Entry()] = read.Number()
	*pages = protocol.NewPages(protocol.PagesConfig{Side: "side-1/1"})
	return nil
}

// TestProbesAreAnswered guards against probers of one entry that number their reads
// separately. They read under the same entry name, so a side would refuse the reads
// of one prober as superseded by those of another.
func TestProbesAreAnswered(t *testing.T) {
	address := testkit.FreeAddress(t)
	log := testkit.DiscardLog()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_ = peerrpc.NewServer(peerrpc.ServerConfig{
			Address: address, Log: log,
			Services: []peerrpc.Service{{Name: protocol.SideService, Receiver: &fakeSide{numbers: make(map[string]uint64)}}},
		}).Serve(ctx)
	}()
	tracker := New(Config{Incarnation: "entry-1/1", Log: log})
	probers := []*prober{tracker.newProber(), tracker.newProber()}
	for range 200 {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close()
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	for i := range 4 {
		got := probers[i%len(probers)].probe(Probe{side: "side-1", address: address})
		if diff := cmp.Diff(NewSideAnswered("side-1", "side-1/1", false), got, cmp.AllowUnexported(SideAnswered{}, SideUnreachable{})); diff != "" {
			t.Errorf("probe %d (-want +got):\n%s", i, diff)
		}
	}
}
