package resumption

import (
	"slices"
	"time"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/protocol"
)

const (
	maxSaved     = 1 << 12         // streams in one save
	resendPeriod = 2 * time.Second // time after which a save without an answer is repeated
	// The time between two saves grows with the number of lobbies, which share the store's
	// rate of writes.
	minSavePeriod      = 250 * time.Millisecond
	savePeriodPerLobby = 50 * time.Millisecond
)

// saver makes the saves, one at a time: the next one follows when the store has taken the last.
type saver struct {
	streams []httpmeta.StreamID              // own ones that are to be saved, oldest first
	removed []protocol.SoftwareVersionConfig // versions that are to be removed
	open    *protocol.StreamsSave            // the save that the store has not answered; nil if there is none
	serial  uint64                           // of the last save
	at      time.Time                        // time of the last save, or of its repetition
	several bool                             // what the last save said of several versions
	all     bool                             // the last save named all versions
}

// add has a stream saved. If very many wait, the oldest are left out.
func (s *saver) add(stream httpmeta.StreamID) {
	s.streams = append(s.streams, stream)
	s.streams = s.streams[max(len(s.streams)-maxStreams, 0):]
}

// remove has versions removed from the store.
func (s *saver) remove(versions []protocol.SoftwareVersionConfig) {
	s.removed = append(s.removed, versions...)
}

// answered records that the store has taken the save of a serial, and returns what that has
// added; nil if it is not the last one.
func (s *saver) answered(serial uint64) *protocol.StreamsSave {
	if s.open == nil || s.open.Serial() != serial {
		return nil
	}
	taken := s.open
	s.open = nil
	return taken
}

// next returns the save that is due now, false if there is none. added are the versions that
// the store does not have. all are all versions of which streams may be open, none if one may
// not be known. group returns streams as a save has them.
func (s *saver) next(now time.Time, period time.Duration, known versions, all []protocol.SoftwareVersionConfig, several bool, group func(streams []httpmeta.StreamID) []protocol.StreamsConfig) (protocol.StreamsSave, bool) {
	if s.open != nil {
		if now.Sub(s.at) < resendPeriod {
			return protocol.StreamsSave{}, false
		}
		s.at = now
		return *s.open, true
	}
	added := known.unsaved()
	s.removed = slices.DeleteFunc(s.removed, func(config protocol.SoftwareVersionConfig) bool {
		return known.of(NewOrigin(config.Service, config.Version)) != nil
	})
	due := len(s.streams) > 0 && now.Sub(s.at) >= period
	if len(added)+len(s.removed) == 0 && several == s.several && len(all) > 0 == s.all && !due {
		return protocol.StreamsSave{}, false
	}
	s.serial++
	n := min(len(s.streams), maxSaved)
	save := protocol.NewStreamsSave(protocol.StreamsSaveConfig{
		Serial: s.serial, Added: added, Removed: s.removed, Streams: group(s.streams[:n]), Several: several, Known: all,
	})
	s.open, s.at, s.several, s.all = &save, now, several, len(all) > 0
	s.removed, s.streams = nil, s.streams[n:]
	return save, true
}

// savePeriod returns the time between two saves of a lobby.
func savePeriod(lobbies int) time.Duration {
	return max(minSavePeriod, time.Duration(lobbies)*savePeriodPerLobby)
}
