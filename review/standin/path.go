package main

import (
	"net/http"
	"strings"
	"time"
)

// playPath sends orders to paths below a route whose prefix is a slash. With trouble the path begins with an empty segment.
func playPath(rec *record, dir string, trouble bool) (bool, error) {
	d, err := newDeployment(rec, dir, 3)
	if err != nil {
		return false, err
	}
	defer d.stop()
	led := &ledger{rec: rec}
	for _, zone := range zones {
		s := &server{id: "i-desk" + zone[5:], service: "counterdesk", zone: zone, version: "v1", slots: 6, work: 20 * time.Millisecond, ledger: led, store: d.store}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	d.store.put("op/config", config(1, []map[string]any{
		route("r-orders", "/", "unsafe", "counterdesk", 800, 300),
	}, []map[string]any{plainService("counterdesk", 0)}))
	if err := d.startAll(); err != nil {
		return false, err
	}
	const requests = 20
	sent := make(map[string]request)
	for range requests {
		target := "/orders/41/cancel"
		if trouble {
			target = "//orders/41/cancel"
		}
		req := request{id: newID(), method: http.MethodPost, target: target, body: "note", deadline: 1500 * time.Millisecond}
		sent[req.id] = req
		d.send(req)
	}
	changed := 0
	for _, r := range led.snapshot() {
		want, _, _ := strings.Cut(sent[r.id].target, "?")
		if r.path != want {
			changed++
			rec.logf("request %s was sent with path %s and run with path %s", r.id, want, r.path)
		}
	}
	rec.sayf("%d requests, %d runs, %d of them with another path than the client's", requests, len(led.snapshot()), changed)
	return changed == 0, nil
}
