package main

// config returns a config as the operator writes it.
func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "rentals", "api_keys": []string{clientKey}, "priority": 1}},
	}
}

func route(name, prefix, kind, service string, timeoutMs, goalMs int) map[string]any {
	attempts := 1
	if kind == "safe" {
		attempts = 2
	}
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route_kind": kind, "timeout_ms": timeoutMs, "goal_ms": goalMs, "priority": 1,
		"service": service, "max_attempts": attempts, "public": false, "affinity": kind == "streaming", "resumable": false, "gap_target_ms": 180,
	}
}

func plainService(name string, coldPerSecond float64) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": coldPerSecond,
	}
}

func engineService(name string, slots int, coldPerSecond float64, moves bool) map[string]any {
	s := plainService(name, coldPerSecond)
	s["cold_start_s"], s["max_conns"] = 1, 312
	s["engine"] = map[string]any{
		"slots": slots, "kv_capacity_tokens": 34294, "kv_token_bytes": 262144, "link_mbps": 38000, "moves": moves, "backups": true,
		"stride": 4, "most": 12, "pin_ms": 4000, "hold_ms": 2000, "handle_s": 5, "models": []map[string]any{{"name": "m"}},
	}
	return s
}
