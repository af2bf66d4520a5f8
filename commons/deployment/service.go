package deployment

import "time"

// ModelConfig describes one model of an engine.
type ModelConfig struct {
	Name        string
	Memory      float64       // MB of weights
	LoadTime    time.Duration // from the weight store
	Adapters    int           // named a1, a2 and so on
	AdapterSize float64       // MB of one adapter
}

// EngineConfig describes the model engines of a service.
type EngineConfig struct {
	Slots        int     // requests that run at once
	Memory       float64 // MB for weights and adapters together
	AdapterSlots int     // adapters that fit
	LoadsPerSec  float64 // loads from the weight store over all backend servers
	Models       []ModelConfig
}

// ServiceConfig holds the construction parameters of a Service.
type ServiceConfig struct {
	Name           string
	MaxConnections int           // that one backend server accepts from all callers
	Engine         *EngineConfig // nil for a plain service
}

// Service is responsible for what is known of the backend servers that share a
// name.
type Service struct {
	config ServiceConfig
}

// Connections returns how many connections one backend server accepts.
func (s Service) MaxConnections() int { return s.config.MaxConnections }

// Engine returns the description of the engines and whether the service has
// any.
func (s Service) Engine() (EngineConfig, bool) {
	if s.config.Engine == nil {
		return EngineConfig{}, false
	}
	return *s.config.Engine, true
}
