package statesync

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/porter"
)

// Names in net/rpc.
const (
	Service     = "Register"
	FetchMethod = Service + ".Fetch"
)

// fetchLimit bounds one call of another process.
const fetchTimeout = time.Second

// Desk is the net/rpc receiver that hands the register out to other processes.
type RPCServer struct {
	syncer *Syncer
}

// NewDesk returns the receiver for a registrar.
func NewRPCServer(registrar *Syncer) *RPCServer { return &RPCServer{syncer: registrar} }

// Fetch returns a snapshot in JSON when it contains the record at the offset,
// else nothing.
func (d *RPCServer) Fetch(from int64, answer *[]byte) error {
	if d.syncer.Revision().Offset() <= from {
		return nil
	}
	data, err := d.syncer.Snapshot().Encode()
	*answer = data
	return err
}

// CallersConfig holds the construction parameters of Callers.
type PeerClientConfig struct {
	Instance string   // name of this instance in the inventory
	Seeds    []string // IP:port of processes to ask before the register is known
	Identity *porter.Identity
	Log      *logrus.Entry
}

// Callers fetch the register from other processes.
type PeerClient struct {
	config PeerClientConfig
}

// NewCallers returns the caller of other processes.
func NewPeerClient(config PeerClientConfig) *PeerClient { return &PeerClient{config: config} }

// Fetch asks one process after another for a snapshot that contains the record
// at the offset.
func (c *PeerClient) Fetch(from int64, addresses map[string]string) (fleetstate.Snapshot, bool) {
	asked := slices.Clone(c.config.Seeds)
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		if name != c.config.Instance && !slices.Contains(asked, addresses[name]) {
			asked = append(asked, addresses[name])
		}
	}
	for _, address := range asked {
		snapshot, err := c.fetch(address, from)
		if err != nil {
			c.config.Log.WithFields(logrus.Fields{"event": "register_fetch", "peer": address}).WithError(err).Debug("process gave no register")
			continue
		}
		if snapshot.Offset() > from {
			c.config.Log.WithFields(logrus.Fields{"event": "register_fetch", "peer": address, "offset": snapshot.Offset()}).Info("register taken from another process")
			return snapshot, true
		}
	}
	return fleetstate.Snapshot{}, false
}

// fetch asks one process. The zero snapshot means that it has nothing newer.
func (c *PeerClient) fetch(address string, from int64) (fleetstate.Snapshot, error) {
	line := porter.NewLine(porter.LineConfig{Address: address, DialTimeout: fetchTimeout, Identity: c.config.Identity})
	defer line.Close()
	var data []byte
	if err := line.Call(FetchMethod, from, &data, fetchTimeout); err != nil {
		return fleetstate.Snapshot{}, err
	}
	if len(data) == 0 {
		return fleetstate.Snapshot{}, nil
	}
	return fleetstate.DecodeSnapshot(data)
}
