package membership

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"sesamewell.example/commons/backstage"
	"sesamewell.example/commons/notice"
	"sesamewell.example/commons/porter"
)

// desk is a side that refuses each read whose number is not above the last one
// of its entry.
type fakeSide struct {
	mu      sync.Mutex
	numbers map[string]uint64
}

// Read answers one read.
func (d *fakeSide) Read(read notice.Read, pages *notice.Pages) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if read.Number() <= d.numbers[read.Entry()] {
		return errors.New("superseded")
	}
	d.numbers[read.Entry()] = read.Number()
	*pages = notice.NewPages(notice.PagesConfig{Side: "side-1/1"})
	return nil
}

func TestProbesAreAnswered(t *testing.T) {
	address := backstage.FreeAddress(t)
	log := backstage.Quiet()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_ = porter.NewDoor(porter.DoorConfig{
			Address: address, Log: log,
			Services: []porter.Service{{Name: notice.Service, Receiver: &fakeSide{numbers: make(map[string]uint64)}}},
		}).Serve(ctx)
	}()
	r := New(Config{Incarnation: "entry-1/1", Log: log})
	probers := []*prober{r.newProber(), r.newProber()}
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
