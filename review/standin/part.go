package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	deadlyPart     = "5c1e07a2"
	deadlyGap      = 1200 * time.Millisecond
	deadlyTime     = 50 * time.Second
	deadlyCrashes  = 5
	soundPerSecond = 8
)

// playPart has clients send streams whose prompts share a part. With trouble, requests come with another part that crashes each
// engine as it begins to write an answer.
func playPart(rec *record, dir string, trouble bool) (bool, error) {
	d, err := newDeployment(rec, dir, 3)
	if err != nil {
		return false, err
	}
	defer d.stop()
	led := &ledger{rec: rec}
	shared := newMemory()
	for i := range 6 {
		s := &server{
			id: fmt.Sprintf("i-loom%d", i), service: "loomhall", zone: zones[i%len(zones)], version: "v1", slots: 24, memory: shared,
			ledger: led, store: d.store, deadly: deadlyPart,
		}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	d.store.put("op/config", config(1, []map[string]any{
		route("r-check", "/check/", "streaming", "loomhall", 6000, 1500),
	}, []map[string]any{engineService("loomhall", 24, 32, false)}))
	if err := d.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	sound, whole := 0, 0
	go traffic(stop, time.Second/soundPerSecond, func(n int) {
		a := d.send(streamRequest(fmt.Sprintf("/check/%d", n), 2200, 20))
		mu.Lock()
		defer mu.Unlock()
		sound++
		if a.status == http.StatusOK && a.whole {
			whole++
		}
	})
	time.Sleep(3 * time.Second)
	deadly := make(map[string]bool)
	for until := time.Now().Add(deadlyTime); time.Now().Before(until); time.Sleep(deadlyGap) {
		if !trouble {
			continue
		}
		req := streamRequest(fmt.Sprintf("/check/d%d", len(deadly)), 2200, 20)
		req.header["Prompt-Prefix"] = fmt.Sprintf("%s:%d,%s:300,%s:1850", commonPart, commonTokens, deadlyPart, req.id[:8])
		deadly[req.id] = true
		go d.send(req)
	}
	close(stop)
	time.Sleep(3 * time.Second)
	crashes, late := 0, 0
	var fifth time.Time
	for _, r := range led.snapshot() {
		if !deadly[r.id] {
			continue
		}
		if crashes++; crashes == deadlyCrashes {
			fifth = r.began
		}
		if crashes > deadlyCrashes && r.began.Sub(fifth) > stableWindow {
			late++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	rec.sayf("%d requests with the part came and crashed %d engines, %d of them over %v after the fifth; %d may", len(deadly), crashes, late, stableWindow, poisonLimit)
	rec.sayf("%d of %d other streams were served whole", whole, sound)
	return late <= poisonLimit, nil
}
