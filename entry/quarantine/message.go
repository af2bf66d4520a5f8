package quarantine

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/protocol"
	"sesamewell.example/commons/quarantine"
	"sesamewell.example/entry/router"
)

// BanConfig holds the construction parameters of a Ban and is its
// JSON form in the log.
type BanConfig struct {
	Fingerprint string    `json:"fingerprint"`
	At          time.Time `json:"at"`
	Until       time.Time `json:"until"`
}

// Ban refuses all requests that have one fingerprint, for a limited time.
type Ban struct {
	config BanConfig
}

// NewBan returns a ban.
func NewBan(config BanConfig) Ban { return Ban{config: config} }

// Fingerprint returns the fingerprint of the banned requests.
func (b Ban) Fingerprint() string { return b.config.Fingerprint }

// evidence returns the crash for which the request was banned, as of a given time.
func (b Ban) evidence(now time.Time) protocol.SuspectConfig {
	return protocol.SuspectConfig{
		Kind: uint8(quarantine.RequestKind), ID: b.config.Fingerprint,
		Crashes: []protocol.CrashConfig{{Backend: b.config.Fingerprint, StartTime: b.config.At.UnixNano(), Age: now.Sub(b.config.At), Alone: true}},
	}
}

// Record returns the log record of the ban. change is the ID of the change.
func (b Ban) Record(change string) (fleetstate.Record, error) {
	body, err := json.Marshal(b.config)
	if err != nil {
		return fleetstate.Record{}, errors.Wrap(err, "encode ban record")
	}
	return fleetstate.NewRecord(fleetstate.RecordConfig{Change: change, Kind: fleetstate.KindQuarantine, Body: body}), nil
}

// DecodeBan decodes the ban in a log record. The second result is false if the
// record contains no ban.
func DecodeBan(record fleetstate.Record) (Ban, bool) {
	var b Ban
	if record.Kind() != fleetstate.KindQuarantine || json.Unmarshal(record.Body(), &b.config) != nil {
		return Ban{}, false
	}
	return b, b.config.Fingerprint != ""
}

// Message is an input of Core.
type Message interface{ quarantineMessage() }

// Intercepted carries a new request whose fingerprint is watched.
type Intercepted struct{ request router.Request }

// NewIntercepted returns the message.
func NewIntercepted(request router.Request) Intercepted { return Intercepted{request: request} }

// Crashed carries a request that was in flight at a crash.
type Crashed struct{ report router.CrashReport }

// NewCrashed returns the message.
func NewCrashed(report router.CrashReport) Crashed { return Crashed{report: report} }

// Finished reports the end of a request.
type Finished struct {
	requestID string
	complete  bool
}

// NewFinished returns the message. complete is true if the caller got a complete
// answer.
func NewFinished(requestID string, complete bool) Finished {
	return Finished{requestID: requestID, complete: complete}
}

// BanLogged carries a ban that was read from the log.
type BanLogged struct{ ban Ban }

// NewBanLogged returns the message.
func NewBanLogged(ban Ban) BanLogged { return BanLogged{ban: ban} }

func (Intercepted) quarantineMessage() {}
func (Crashed) quarantineMessage()     {}
func (Finished) quarantineMessage()    {}
func (BanLogged) quarantineMessage()   {}

// Action is an output of Core that Quarantine executes.
type Action interface{ quarantineAction() }

// Append appends a ban to the log.
type Append struct{ ban Ban }

// Dispatch passes a request to the router.
type Dispatch struct{ request router.Request }

// Refuse ends a request with a refusal.
type Refuse struct{ refusal router.Refuse }

func (Append) quarantineAction()   {}
func (Dispatch) quarantineAction() {}
func (Refuse) quarantineAction()   {}
