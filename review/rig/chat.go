package main

import (
	"fmt"
	"time"
)

// startChat starts a deployment with one lobby and a number of engines, each with a keeper
// and a model of its own, and waits until the lobby is ready. It returns the first engine.
func (r *rig) startChat(engines int, shape func(path string) (int, time.Duration)) (*engine, *process, error) {
	var first *engine
	for n := range engines {
		ip := fmt.Sprintf("%s%d", r.prefix, 11+n)
		e := &engine{rig: r, shape: shape}
		e.worker = &worker{
			id: fmt.Sprintf("i-engine%d", n+1), address: ip + ":8228", service: "chat", zone: "zone-a", slots: 64,
			store: r.store, record: r.record, handle: e.handle, describe: e.describe,
		}
		if err := e.restart(fmt.Sprintf("m%d", n+1)); err != nil {
			return nil, nil, err
		}
		if first == nil {
			first = e
		}
	}
	if err := r.store.putJSON(operatorTopic, "config", chatConfiguration(engines)); err != nil {
		return nil, nil, err
	}
	for n := range engines {
		ip := fmt.Sprintf("%s%d", r.prefix, 11+n)
		if _, err := r.fleet.start(machine{name: fmt.Sprintf("side-%d", n+1), ip: ip, zone: "zone-a", role: "keeper", app: ip + ":8228"}); err != nil {
			return nil, nil, err
		}
	}
	lobby, err := r.fleet.start(machine{name: "front-1", ip: r.prefix + "31", zone: "zone-a", role: "lobby"})
	if err != nil {
		return nil, nil, err
	}
	return first, lobby, lobby.awaitReady()
}

// chatConfiguration returns the operator's configuration with one route to engines, on
// which there are a number of models.
func chatConfiguration(models int) map[string]any {
	list := []any{}
	for n := range models {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("m%d", n+1), "weights_mb": modelMemory, "load_time_s": storeLoadTime.Seconds(), "disk_s": diskLoadTime.Seconds(),
			"adapters": modelAdapters, "adapter_size_mb": adapterMemory,
		})
	}
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "chat", "host": "h.example", "path_prefix": "/chat/", "route_kind": "streaming", "timeout_ms": generationTime.Milliseconds(),
			"target_latency_ms": 500, "priority": 1, "service": "chat", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_target_ms": 250,
		}},
		"services": []any{map[string]any{
			"name": "chat", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_cache_tokens": 141591, "weights_mb": engineMemory, "adapter_slots": adapterSlots, "loads_per_s": 2.8, "models": list,
			},
		}},
		"limits":  limitsOfClients(),
		"tenants": []any{map[string]any{"name": "tenant1", "api_keys": []string{"key1"}, "priority": 1}},
	}
}
