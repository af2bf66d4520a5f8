package main

import "encoding/json"

type object = map[string]any

const (
	engineService = "huvo11a"
	plainService  = "wuno96b"
	otherService  = "ravo12c"
)

// route returns a route of the operator's configuration.
func route(name, prefix, kind, service string, timeoutMS, targetMS, attempts int, more object) object {
	r := object{
		"name": name, "host": hostName, "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS,
		"priority": 2, "service": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// configuration returns the operator's configuration of a version, with workers that have so many
// MB for weights.
func configuration(version int, routes []object, models []object, memory float64) []byte {
	c := object{
		"version": version, "routes": routes,
		"services": []object{
			{"name": engineService, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": object{
				"slots": 64, "kv_cache_tokens": 121069, "kv_token_bytes": 163840, "link_mbps": 550000.0, "models": models,
				"weights_mb": memory, "adapter_slots": 8, "loads_per_s": 1.1,
			}},
			{"name": otherService, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
			{"name": plainService, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1, "unit": "token_count", "plain_tokens": 200, "rate_per_s": 38758, "burst": 38758}},
	}
	text, _ := json.Marshal(c)
	return text
}

// model returns a model of the configuration.
func model(name string) object {
	return object{"name": name, "weights_mb": 72700.0, "load_time_s": 8.6, "adapters": 22, "adapter_size_mb": 66.0, "warm_s": 0.81, "disk_s": 1.7}
}
