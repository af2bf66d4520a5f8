package main

// configuration returns the operator's configuration of a small deployment with a
// service of bookings and, if models are given, a pool of model workers.
func configuration(version int, models ...string) map[string]any {
	routes := []map[string]any{
		route("r-deposit", "/deposit/", "unsafe", "bookings", map[string]any{"timeout_ms": 1500, "target_latency_ms": 300, "priority": 2}),
		route("r-seat", "/seat/", "safe", "bookings", map[string]any{"timeout_ms": 1500, "target_latency_ms": 300, "priority": 2, "max_attempts": 2}),
		route("r-photo", "/photo/", "unsafe", "bookings", map[string]any{"timeout_ms": 8000, "target_latency_ms": 2000, "priority": 2}),
	}
	services := []map[string]any{{"name": "bookings", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}}
	if len(models) > 0 {
		routes = append(routes, route("r-trail", "/trail/", "streaming", "storyteller", map[string]any{
			"timeout_ms": 15000, "target_latency_ms": 600, "priority": 2, "gap_target_ms": 300, "sticky": true,
		}))
		sizes := make([]map[string]any, 0)
		for _, model := range models {
			sizes = append(sizes, map[string]any{"name": model, "weights_mb": 70000, "load_time_s": 4.0, "adapters": 0, "adapter_size_mb": 0, "disk_s": 1.0})
		}
		services = append(services, map[string]any{
			"name": "storyteller", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_cache_tokens": 141591, "weights_mb": 230000, "adapter_slots": 8, "loads_per_s": 2.8, "models": sizes},
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": []string{"key-1"}, "unit": "token_count", "plain_tokens": 200, "rate_per_s": 1000000, "burst": 4000000}},
	}
}

func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "shop.example", "path_prefix": prefix, "route_kind": kind, "service": service,
		"max_attempts": 1, "public": false, "sticky": false, "resumable": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}
