package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	memoryLimit     = 134 << 20 // of one machine's process
	accounts        = 4900
	routesPerConfig = 350
	configChanges   = 216
	stormChanges    = 12
	stormGap        = 330 * time.Millisecond
	stormPause      = 340 * time.Millisecond
	restartDelay    = 500 * time.Millisecond
)

// platformKills kills nodes that exceed their memory and starts them again, as the platform does, until stop is closed. It
// returns the number of kills.
func (d *deployment) platformKills(stop <-chan struct{}) int {
	kills, peak := 0, make(map[string]int)
	for tick := 0; ; tick++ {
		select {
		case <-stop:
			return kills
		case <-time.After(20 * time.Millisecond):
		}
		for _, n := range d.nodes {
			rss := residentBytes(n.cmd.Process.Pid)
			peak[n.name] = max(peak[n.name], rss)
			if tick%100 == 0 {
				d.rec.logf("node %s has %d MB, %d MB at most so far", n.name, rss>>20, peak[n.name]>>20)
			}
			if rss <= memoryLimit {
				continue
			}
			kills++
			d.rec.sayf("node %s has %d MB, over its limit of %d MB: the platform kills it and starts it again", n.name, rss>>20, memoryLimit>>20)
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			<-n.ended
			time.Sleep(restartDelay)
			if err := d.start(n); err != nil {
				d.rec.logf("node %s does not start: %v", n.name, err)
				return kills
			}
		}
	}
}

// residentBytes returns the resident memory of a process that this program started.
func residentBytes(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize()
}

// bigConfig returns a config with many accounts and routes.
func bigConfig(version int) map[string]any {
	routes := []map[string]any{route("r-stamp", "/stamp/", "unsafe", "counterdesk", 800, 300)}
	for n := range routesPerConfig {
		routes = append(routes, route(fmt.Sprintf("r-extra%03d", n), fmt.Sprintf("/extra%03d/", n), "unsafe", "counterdesk", 800+version%100, 300))
	}
	c := config(version, routes, []map[string]any{plainService("counterdesk", 0)})
	tenants := []map[string]any{{"name": "rentals", "api_keys": []string{clientKey}, "priority": 1}}
	for n := 1; n < accounts; n++ {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("account%04d", n), "api_keys": []string{fmt.Sprintf("xd9dnn2ctnfzs98%05d", n)}, "priority": 1})
	}
	c["tenants"] = tenants
	return c
}

// playMemory has kept clients send calls. With trouble, the operator changes a config of the target size in storms.
func playMemory(rec *record, dir string, trouble bool) (bool, error) {
	d, err := newDeployment(rec, dir, 3)
	if err != nil {
		return false, err
	}
	defer d.stop()
	led := &ledger{rec: rec}
	for _, zone := range zones {
		s := &server{id: "i-desk" + zone[5:], service: "counterdesk", zone: zone, version: "v1", slots: 16, work: 150 * time.Millisecond, ledger: led, store: d.store}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	d.store.put("op/config", bigConfig(1))
	rec.sayf("a config has %d bytes", len(d.store.value("op/config")))
	if err := d.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	kills := 0
	group.Go(func() { kills = d.platformKills(stop) })
	clients := startKeptClients(d, &group, stop)
	time.Sleep(3 * time.Second)
	made := 0
	for made < configChanges {
		if trouble {
			for range stormChanges {
				made++
				d.store.put("op/config", bigConfig(1+made))
				time.Sleep(stormGap)
			}
		} else {
			made += stormChanges
			time.Sleep(stormChanges * stormGap)
		}
		time.Sleep(stormPause)
	}
	close(stop)
	group.Wait()
	rec.sayf("nodes exceeded their memory %d times", kills)
	return clients.judge(led), nil
}
