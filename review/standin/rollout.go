package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	rolloutTime  = 30 * time.Second // duration of the order
	exposeShare  = 0.1
	exposeSlack  = 50
	rollbackTime = 5 * time.Second
	badAnswers   = 50
)

// playRollout rolls out a version of a plain service. With trouble, the version answers every request on one rare route with a
// failure.
func playRollout(rec *record, dir string, trouble bool) (bool, error) {
	d, err := newDeployment(rec, dir, 3)
	if err != nil {
		return false, err
	}
	defer d.stop()
	led := &ledger{rec: rec}
	desk := func(version, zone string, bad func(string) bool) *server {
		return &server{
			id: fmt.Sprintf("i-%s%s", version, zone[5:]), service: "counterdesk", zone: zone, version: version, slots: 6,
			work: 60 * time.Millisecond, bad: bad, ledger: led, store: d.store,
		}
	}
	var old []*server
	for _, zone := range zones {
		s := desk("v1", zone, nil)
		if err := s.start(); err != nil {
			return false, err
		}
		old = append(old, s)
	}
	d.store.put("op/config", config(1, []map[string]any{
		route("r-stamp", "/stamp/", "unsafe", "counterdesk", 800, 300),
		route("r-look", "/look/", "safe", "counterdesk", 800, 300),
		route("r-slip", "/slip/", "unsafe", "counterdesk", 800, 300),
	}, []map[string]any{plainService("counterdesk", 0)}))
	if err := d.startAll(); err != nil {
		return false, err
	}

	stop := make(chan struct{})
	paths := []string{"/stamp/", "/stamp/", "/look/", "/stamp/", "/stamp/", "/look/", "/stamp/", "/look/"}
	go traffic(stop, 25*time.Millisecond, func(n int) {
		path := paths[n%len(paths)]
		if n%50 == 49 {
			path = "/slip/"
		}
		req := request{id: newID(), method: http.MethodPost, target: fmt.Sprintf("%s%x", path, n), deadline: 1500 * time.Millisecond}
		if path == "/look/" {
			req.method = http.MethodGet
		}
		d.send(req)
	})
	time.Sleep(4 * time.Second)

	var bad func(string) bool
	if trouble {
		bad = func(path string) bool { return strings.HasPrefix(path, "/slip/") }
	}
	ordered := time.Now()
	d.store.put("op/rollout/counterdesk", map[string]any{"service": "counterdesk", "target": "v2", "duration_s": rolloutTime.Seconds()})
	rec.logf("the operator orders the rollout of v2")
	var fresh []*server
	for _, zone := range zones {
		s := desk("v2", zone, bad)
		if err := s.start(); err != nil {
			return false, err
		}
		fresh = append(fresh, s)
	}
	state := ""
	for until := ordered.Add(rolloutTime + 30*time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		now := d.store.value("status/rollout/counterdesk")
		if now == state {
			continue
		}
		state = now
		rec.sayf("%.1f s after the order the state is %s", time.Since(ordered).Seconds(), state)
		leaving := fresh
		switch {
		case strings.Contains(state, "completed"):
			leaving = old
		case !strings.Contains(state, "rolled_back"):
			continue
		}
		for _, s := range leaving { // a rolled-back version would drain some seconds later
			if leaving[0] == old[0] {
				s.crash()
				d.store.remove("servers/" + s.id)
			}
		}
	}
	close(stop)
	time.Sleep(2 * time.Second)
	return judgeRollout(rec, led.snapshot(), ordered, trouble), nil
}

// judgeRollout checks the rule EXPOSURE. A good version may get all requests.
func judgeRollout(rec *record, runs []run, ordered time.Time, bad bool) bool {
	all, exposed, failed, late, refusedRoute := 0, 0, 0, 0, 0
	var takenBack time.Time // when it must be taken back
	for _, r := range runs {
		if inOrder := r.began.After(ordered) && r.began.Before(ordered.Add(rolloutTime)); inOrder {
			all++
			if r.version == "v2" {
				exposed++
			}
		}
		if r.version != "v2" {
			continue
		}
		if !takenBack.IsZero() && r.began.After(takenBack) {
			late++
		}
		if r.outcome == "500" {
			refusedRoute++
			if failed++; failed == badAnswers {
				takenBack = r.ended.Add(rollbackTime)
			}
		}
	}
	limit := exposeShare*float64(all) + exposeSlack
	rec.sayf("%d runs within %v of the order, %d of them by v2; a bad version may get %.0f", all, rolloutTime, exposed, limit)
	rec.sayf("v2 failed %d runs; %d runs by v2 began over %v after its failure number %d", refusedRoute, late, rollbackTime, badAnswers)
	return !bad || (float64(exposed) <= limit && late == 0)
}

// traffic calls fn with increasing numbers at a fixed rate until stop is closed. It doesn't wait for fn.
func traffic(stop <-chan struct{}, gap time.Duration, fn func(n int)) {
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			go fn(n)
		}
	}
}
