package main

import "time"

const (
	host = "x.example"
	key  = "k-one"
)

// routeOf returns a route of a config.
func routeOf(name, prefix, kind, service string, timeoutMs, goalMs, attempts int) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "prefix": prefix, "route_kind": kind, "timeout_ms": timeoutMs, "goal_ms": goalMs, "priority": 1,
		"service": service, "max_attempts": attempts, "public": false, "affinity": kind == "streaming", "resumable": false,
	}
	if kind == "streaming" {
		r["gap_target_ms"] = 180
	}
	return r
}

// configOf returns a config with the limits of the example of the platform's pages.
func configOf(version int, routes []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "writers", "health_path": "/health", "max_conns": 222, "protocol": "h1", "tls": false, "cold_start_s": 1.0, "cold_per_s": 32.0, "engine": map[string]any{
				"slots": 24, "kv_capacity_tokens": 34287, "kv_token_bytes": 262144, "link_mbps": 38000.0, "moves": true, "backups": true, "stride": 4,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": "desk", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "one", "api_keys": []string{key}, "priority": 1}},
	}
}

// startFleet starts a store with a config, and machines.
func startFleet(dir string, n int, routes []map[string]any) (*store, []*machine, error) {
	st, err := startStore()
	if err != nil {
		return nil, nil, err
	}
	st.put("op/config", configOf(7, routes))
	list, err := newMachines(dir, n, st.addr)
	if err != nil {
		return nil, nil, err
	}
	for _, m := range list {
		if err := m.start(true); err != nil {
			return nil, nil, err
		}
	}
	return st, list, nil
}

func killAll(list []*machine) {
	for _, m := range list {
		m.kill()
	}
}

const (
	// readyTime bounds the time until all nodes are ready.
	readyTime = 10 * time.Second
	// settleTime is longer than stable_window_ms, so that the machines are in touch.
	settleTime = 4 * time.Second
)
