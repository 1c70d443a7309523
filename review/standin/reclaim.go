package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	reclaimStreams = 12
	reclaimEvents  = 250
	reclaimEngines = 12
	reclaimed      = 2               // a share of 0.17
	reclaimNotice  = 2 * time.Second // x of scale_in, how spot
	resumeTime     = 700 * time.Millisecond
	noticeAfter    = 200 * time.Millisecond
)

// playReclaim runs streams at one node while a run is preempted. With trouble, the servers of the node's zone are reclaimed while the
// run moves to its copy.
func playReclaim(rec *record, dir string, trouble bool) (bool, error) {
	d, err := newDeployment(rec, dir, 3)
	if err != nil {
		return false, err
	}
	defer d.stop()
	led := &ledger{rec: rec}
	shared := newMemory()
	var engines []*server
	for i := range reclaimEngines {
		zone := zones[0]
		if i >= reclaimed {
			zone = zones[1+i%2]
		}
		s := &server{
			id: fmt.Sprintf("i-loom%d", i), service: "loomhall", zone: zone, version: "v1", slots: 24, memory: shared, resumeTime: resumeTime,
			ledger: led, store: d.store,
		}
		if err := s.start(); err != nil {
			return false, err
		}
		engines = append(engines, s)
	}
	for _, zone := range zones {
		s := &server{id: "i-desk" + zone[5:], service: "counterdesk", zone: zone, version: "v1", slots: 16, work: 150 * time.Millisecond, ledger: led, store: d.store}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	d.store.put("op/config", config(1, []map[string]any{
		route("r-writeup", "/writeup/", "streaming", "loomhall", 39000, 1800),
		route("r-stamp", "/stamp/", "unsafe", "counterdesk", 800, 300),
	}, []map[string]any{engineService("loomhall", 24, 32, true), plainService("counterdesk", 0)}))
	if err := d.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group, streams sync.WaitGroup
	clients := startKeptClients(d, &group, stop)
	for n := range reclaimStreams {
		streams.Go(func() {
			a := exchange(d.nodes[0].addr(portFront), streamRequest(fmt.Sprintf("/writeup/%d", n), 300, reclaimEvents))
			rec.logf("client of stream %d gets status %d, whole %v, error %v", n, a.status, a.whole, a.err)
		})
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	from := engines[0]
	from.preempt(20 * time.Second)
	for until := time.Now().Add(4 * time.Second); !resumes(led, engines[1].id) && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(noticeAfter)
	if trouble {
		engines[0].reclaim(reclaimNotice)
		engines[1].reclaim(reclaimNotice)
	}
	streams.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	for _, n := range d.nodes {
		select {
		case <-n.ended:
			rec.sayf("node %s ended by itself: %v", n.name, n.cmd.ProcessState)
		default:
		}
	}
	return clients.judge(led), nil
}

// resumes reports whether a run that comes from a copy has begun at a server.
func resumes(led *ledger, server string) bool {
	for _, r := range led.snapshot() {
		if r.server == server && r.from != "" {
			return true
		}
	}
	return false
}
