package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	exposeShare  = 0.1
	exposeSlack  = 50
	rollbackTime = 5 * time.Second
	badAnswers   = 50
)

// rollout is a rollout of a plain service.
type rollout struct {
	duration time.Duration // of the order
	watch    time.Duration // after the order
	gap      time.Duration // between requests
	bad      func(path string) bool
}

// playRollout rolls out a version that, with trouble, answers every request on one rare route with a failure.
func playRollout(rec *record, dir string, trouble bool) (bool, error) {
	r := rollout{duration: 30 * time.Second, watch: 60 * time.Second, gap: 25 * time.Millisecond}
	if trouble {
		r.bad = func(path string) bool { return strings.HasPrefix(path, "/slip/") }
	}
	return r.play(rec, dir)
}

// playQuiet rolls out a version at a time of few requests. With trouble, it answers all of them with failures.
func playQuiet(rec *record, dir string, trouble bool) (bool, error) {
	r := rollout{duration: 12 * time.Second, watch: 62 * time.Second, gap: 700 * time.Millisecond}
	if trouble {
		r.bad = func(string) bool { return true }
	}
	return r.play(rec, dir)
}

func (ro rollout) play(rec *record, dir string) (bool, error) {
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
	go traffic(stop, ro.gap, func(n int) {
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

	ordered := time.Now()
	d.store.put("op/rollout/counterdesk", map[string]any{"service": "counterdesk", "target": "v2", "duration_s": ro.duration.Seconds()})
	rec.logf("the operator orders the rollout of v2")
	var fresh []*server
	for _, zone := range zones {
		s := desk("v2", zone, ro.bad)
		if err := s.start(); err != nil {
			return false, err
		}
		fresh = append(fresh, s)
	}
	state := ""
	for until := ordered.Add(ro.watch); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
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
	return ro.judge(rec, led.snapshot(), ordered), nil
}

// judge checks the rule EXPOSURE. A good version may get all requests.
func (ro rollout) judge(rec *record, runs []run, ordered time.Time) bool {
	all, exposed, failed, late := 0, 0, 0, 0
	var takenBack time.Time // when it must be taken back
	for _, r := range runs {
		if inOrder := r.began.After(ordered) && r.began.Before(ordered.Add(ro.duration)); inOrder {
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
			if failed++; failed == badAnswers {
				takenBack = r.ended.Add(rollbackTime)
			}
		}
	}
	limit := exposeShare*float64(all) + exposeSlack
	rec.sayf("%d runs within %v of the order, %d of them by v2; a bad version may get %.0f", all, ro.duration, exposed, limit)
	rec.sayf("v2 failed %d runs; %d runs by v2 began over %v after its failure number %d", failed, late, rollbackTime, badAnswers)
	return ro.bad == nil || (float64(exposed) <= limit && late == 0)
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
