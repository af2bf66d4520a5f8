package statesync

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/httpclient"
	"sesamewell.example/commons/peerrpc"
)

// Names in net/rpc of the service and of its method.
const (
	Service     = "Register"
	FetchMethod = Service + ".Fetch"
)

// fetchTimeout limits one call of another process.
const fetchTimeout = time.Second

// PeerClientConfig holds the construction parameters of a PeerClient.
type PeerClientConfig struct {
	Instance string   // name of this instance in the inventory
	Seeds    []string // IP:port of processes to call even without an inventory
	Identity *peerrpc.Identity
	Log      *logrus.Entry
}

// PeerClient fetches the fleet state from other processes.
type PeerClient struct {
	config PeerClientConfig
}

// NewPeerClient returns a client.
func NewPeerClient(config PeerClientConfig) *PeerClient { return &PeerClient{config: config} }

// Fetch calls one process after another, seeds first, until one returns a snapshot
// that includes the record at offset from. Addresses holds IP:port by instance.
func (c *PeerClient) Fetch(from int64, addresses map[string]string) (fleetstate.Snapshot, bool) {
	targets := slices.Clone(c.config.Seeds)
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		if name != c.config.Instance && !slices.Contains(targets, addresses[name]) {
			targets = append(targets, addresses[name])
		}
	}
	for _, address := range targets {
		snapshot, err := c.fetch(address, from)
		if err != nil {
			c.config.Log.WithFields(logrus.Fields{"event": "register_fetch", "peer": address}).WithError(err).Debug("peer did not return the fleet state")
			continue
		}
		if snapshot.Offset() > from {
			c.config.Log.WithFields(logrus.Fields{"event": "register_fetch", "peer": address, "offset": snapshot.Offset()}).Info("fleet state fetched from peer")
			return snapshot, true
		}
	}
	return fleetstate.Snapshot{}, false
}

// fetch calls one process. The zero snapshot means that it has nothing newer.
func (c *PeerClient) fetch(address string, from int64) (fleetstate.Snapshot, error) {
	conn := peerrpc.NewClient(peerrpc.ClientConfig{Address: address, DialTimeout: fetchTimeout, Identity: c.config.Identity, MaxMessage: httpclient.DefaultMaxBody})
	defer conn.Close()
	var data []byte
	if err := conn.Call(FetchMethod, from, &data, fetchTimeout); err != nil {
		return fleetstate.Snapshot{}, err
	}
	if len(data) == 0 {
		return fleetstate.Snapshot{}, nil
	}
	return fleetstate.DecodeSnapshot(data)
}
