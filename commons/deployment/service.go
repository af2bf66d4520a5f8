package deployment

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// ModelConfig describes one model of an engine.
type ModelConfig struct {
	Name        string
	Memory      float64       // MB of weights
	LoadTime    time.Duration // time to load the model from the weight store
	DiskTime    time.Duration // time to load it from the backend server's own disk; zero if unknown
	Adapters    int           // number of adapters, which are named a1, a2 and so on
	AdapterSize float64       // MB of one adapter
}

// EngineConfig describes the model engines of a service.
type EngineConfig struct {
	Slots        int     // number of requests that run concurrently
	CacheTokens  int64   // tokens that running requests and cached prompt parts share; zero if not known
	Memory       float64 // MB for weights and adapters together
	AdapterSlots int     // maximum number of loaded adapters
	LoadsPerSec  float64 // loads per second from the weight store, over all backend servers
	Models       []ModelConfig
}

// HasModel reports whether a model is configured.
func (e EngineConfig) HasModel(name string) bool {
	return slices.ContainsFunc(e.Models, func(model ModelConfig) bool { return model.Name == name })
}

// adapterPrefix begins the names of adapters, which are numbered from one.
const adapterPrefix = "a"

// HasAdapter reports whether a model is configured with an adapter of the given name.
func (e EngineConfig) HasAdapter(model, name string) bool {
	digits, ok := strings.CutPrefix(name, adapterPrefix)
	number, err := strconv.Atoi(digits)
	if !ok || err != nil || strconv.Itoa(number) != digits {
		return false
	}
	return slices.ContainsFunc(e.Models, func(m ModelConfig) bool { return m.Name == model && number >= 1 && number <= m.Adapters })
}

// ModelLoadTime returns the time to load a model from a backend server's own disk,
// if that is known and onDisk is set, else from the weight store. It returns zero for
// a model that is not configured.
func (e EngineConfig) ModelLoadTime(name string, onDisk bool) time.Duration {
	for _, model := range e.Models {
		if model.Name != name {
			continue
		}
		if onDisk && model.DiskTime > 0 {
			return model.DiskTime
		}
		return model.LoadTime
	}
	return 0
}

// ServiceConfig holds the construction parameters of a Service.
type ServiceConfig struct {
	Name           string
	MaxConnections int           // number of connections that one backend server accepts, from all callers together
	Engine         *EngineConfig // nil for a service without model engines
	ColdStart      time.Duration // time from its start for which a backend server is cold; zero for never
	ColdRate       float64       // requests per second that a cold backend server tolerates; zero for any
}

// Service describes the backend servers of one service.
type Service struct {
	config ServiceConfig
}

// MaxConnections returns the number of connections that one backend server
// accepts, from all callers together.
func (s Service) MaxConnections() int { return s.config.MaxConnections }

// Cold returns the time from its start for which a backend server is cold, and the
// requests per second that it tolerates meanwhile. It returns false if the backend
// servers of the service are never cold.
func (s Service) Cold() (start time.Duration, rate float64, ok bool) {
	if s.config.ColdStart <= 0 || s.config.ColdRate <= 0 {
		return 0, 0, false
	}
	return s.config.ColdStart, s.config.ColdRate, true
}

// Engine returns the description of the service's model engines, and whether it
// has any.
func (s Service) Engine() (EngineConfig, bool) {
	if s.config.Engine == nil {
		return EngineConfig{}, false
	}
	return *s.config.Engine, true
}
