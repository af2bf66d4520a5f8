package protocol

import (
	"time"

	"sesamewell.example/commons/httpmeta"
)

// SoftwareVersionConfig is a version of the software of a service's backend servers.
type SoftwareVersionConfig struct {
	Service string
	Version string
}

// StreamsConfig is a number of streams that began at the same software version, which is empty
// while nobody knows it. Without streams it names a version that the sender knows.
type StreamsConfig struct {
	Service string
	Version string
	Streams []httpmeta.StreamID
	Left    time.Duration // time for which their callers may take them up
	Saved   bool          // the platform's store has the version; set without streams only
}

// StreamsSaveConfig holds the construction parameters of a StreamsSave.
type StreamsSaveConfig struct {
	Serial  uint64                  // of the save among those of its sender
	Added   []SoftwareVersionConfig // versions of which streams may be open
	Removed []SoftwareVersionConfig // versions of which no stream can be open any more
	Streams []StreamsConfig         // that began at the sender
	Several bool                    // a service has several versions, so that other lobbies save streams too
	Known   []SoftwareVersionConfig // all versions of which streams may be open; none if the sender may not know one
}

// StreamsSave is what a lobby adds to what the platform's store keeps of software versions and
// of the streams that began there.
type StreamsSave struct{ config StreamsSaveConfig }

// NewStreamsSave returns a StreamsSave.
func NewStreamsSave(config StreamsSaveConfig) StreamsSave { return StreamsSave{config: config} }

// Serial returns the number of the save among those of its sender.
func (s StreamsSave) Serial() uint64 { return s.config.Serial }

// Added returns the versions of which streams may be open.
func (s StreamsSave) Added() []SoftwareVersionConfig { return s.config.Added }

// Removed returns the versions of which no stream can be open any more.
func (s StreamsSave) Removed() []SoftwareVersionConfig { return s.config.Removed }

// Streams returns the streams that began at the sender.
func (s StreamsSave) Streams() []StreamsConfig { return s.config.Streams }

// Empty reports whether there is nothing to write.
func (s StreamsSave) Empty() bool {
	return len(s.config.Added)+len(s.config.Removed)+len(s.config.Streams) == 0
}

// Known returns all versions of which streams may be open, none if the sender may not know one.
func (s StreamsSave) Known() []SoftwareVersionConfig { return s.config.Known }

// Several reports whether a service has several versions, so that other lobbies save streams
// too.
func (s StreamsSave) Several() bool { return s.config.Several }

// SavedStreamsConfig holds the construction parameters of SavedStreams.
type SavedStreamsConfig struct {
	Versions []SoftwareVersionConfig
	Streams  []StreamsConfig
	Slots    map[string]int // by lobby, the slot that it wrote last
	Era      int64          // of the store, in which a lobby that knew all versions last wrote them; zero if none has
	Lossy    bool           // the store has come back from a backup since then and may lack versions
}

// SavedStreams is what the platform's store keeps of software versions and of the streams that
// began there, or a part of it.
type SavedStreams struct{ config SavedStreamsConfig }

// NewSavedStreams returns a SavedStreams.
func NewSavedStreams(config SavedStreamsConfig) SavedStreams { return SavedStreams{config: config} }

// Versions returns the versions of which streams may be open.
func (s SavedStreams) Versions() []SoftwareVersionConfig { return s.config.Versions }

// Era returns the era of the store in which a lobby that knew all versions last wrote them, zero
// if none has.
func (s SavedStreams) Era() int64 { return s.config.Era }

// Lossy reports whether the store has come back from a backup since then and may lack versions.
func (s SavedStreams) Lossy() bool { return s.config.Lossy }

// Streams returns the streams.
func (s SavedStreams) Streams() []StreamsConfig { return s.config.Streams }

// Slot returns the slot that a lobby wrote last, false if it has written none.
func (s SavedStreams) Slot(lobby string) (int, bool) {
	slot, ok := s.config.Slots[lobby]
	return slot, ok
}
