package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	preemption    = 1600 * time.Millisecond
	overlapLimit  = 400 * time.Millisecond
	twiceStreams  = 16
	twiceEvents   = 200
	preemptEvery  = 2500 * time.Millisecond
	preemptRounds = 4
)

// playTwice runs streams on four engines, one of which goes on with its work when a connection closes. With trouble, that one
// preempts runs for a while in the middle of their streams.
func playTwice(rec *record, dir string, trouble bool) (bool, error) {
	d, err := newDeployment(rec, dir, 3)
	if err != nil {
		return false, err
	}
	defer d.stop()
	led := &ledger{rec: rec}
	shared := newMemory()
	var engines []*server
	for i := range 4 {
		s := &server{
			id: fmt.Sprintf("i-loom%d", i), service: "loomhall", zone: zones[i%len(zones)], version: "v1", slots: 24, memory: shared,
			keepsWorking: i == 0, ledger: led, store: d.store,
		}
		if err := s.start(); err != nil {
			return false, err
		}
		engines = append(engines, s)
	}
	d.store.put("op/config", config(1, []map[string]any{
		route("r-writeup", "/writeup/", "streaming", "loomhall", 39000, 1800),
	}, []map[string]any{engineService("loomhall", 24, 32, false)}))
	if err := d.startAll(); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	for n := range twiceStreams {
		group.Go(func() { d.send(streamRequest(fmt.Sprintf("/writeup/%d", n), 3000, twiceEvents)) })
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for range preemptRounds {
		if trouble {
			engines[0].preempt(preemption)
		}
		time.Sleep(preemptEvery)
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	twice := 0
	runs := led.snapshot()
	for _, first := range runs {
		for _, next := range runs {
			if next.id != first.id || next.server == first.server || !next.began.After(first.began) {
				continue
			}
			ended := first.ended
			if ended.IsZero() {
				ended = time.Now() // the server still works on it
			}
			if overlap := ended.Sub(next.began); overlap > overlapLimit {
				twice++
				rec.logf("request %s goes on at %s while %s works on it for %.2f s more", first.id, next.server, first.server, overlap.Seconds())
			}
		}
	}
	rec.sayf("%d runs of %d requests; %d went on at another server while the one before worked on them over %v later", len(runs), twiceStreams, twice, overlapLimit)
	return twice == 0, nil
}
