package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	coldPerSecond  = 32
	coldTime       = 6 * time.Second
	coldStreams    = 40
	shortPerSecond = 10
	coldEvents     = 160
)

// playCold runs streams on two engines, each of which keeps copies of the other's runs. One becomes cold. With trouble, the other
// one crashes then.
func playCold(rec *record, dir string, trouble bool) (bool, error) {
	d, err := newDeployment(rec, dir, 3)
	if err != nil {
		return false, err
	}
	defer d.stop()
	led := &ledger{rec: rec}
	shared := newMemory()
	var engines []*server
	for _, zone := range zones[:2] {
		s := &server{
			id: "i-loom" + zone[5:], service: "loomhall", zone: zone, version: "v1", slots: 24, memory: shared,
			coldLimit: 2 * coldPerSecond, ledger: led, store: d.store,
		}
		if err := s.start(); err != nil {
			return false, err
		}
		engines = append(engines, s)
	}
	d.store.put("op/config", config(1, []map[string]any{
		route("r-writeup", "/writeup/", "streaming", "loomhall", 39000, 1800),
		route("r-check", "/check/", "streaming", "loomhall", 6000, 1500),
	}, []map[string]any{engineService("loomhall", 24, coldPerSecond, false)}))
	if err := d.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go traffic(stop, time.Second/shortPerSecond, func(n int) { d.send(streamRequest(fmt.Sprintf("/check/%d", n), 100, 3)) })
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	whole, cut := 0, 0
	for n := range coldStreams {
		group.Go(func() {
			a := d.send(streamRequest(fmt.Sprintf("/writeup/%d", n), 100, coldEvents))
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 && a.whole {
				whole++
			} else {
				cut++
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	survivor := engines[1]
	coldFrom := time.Now()
	survivor.register("ready", coldTime)
	rec.logf("server %s becomes cold for %v", survivor.id, coldTime)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		rec.logf("server %s crashes", engines[0].id)
		engines[0].crash()
	}
	group.Wait()
	close(stop)
	most := survivor.mostBetween(coldFrom, coldFrom.Add(coldTime))
	limit := coldPerSecond*coldOver + coldSlack
	rec.sayf("the cold server got %d requests in one second; it may get %.0f", most, limit)
	rec.sayf("%d streams were answered whole, %d were not", whole, cut)
	return float64(most) <= limit, nil
}
