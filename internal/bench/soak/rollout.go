package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/operator"
	fakeengine "ebonyferry/internal/fake/engine"
)

// This file defines the rollout of a bad version and what must hold of it.

const (
	badVersion     = "v2"
	quickMark      = "Grade check" // in all quick requests and no others
	rolloutTime    = 30 * time.Second
	rolloutRetry   = time.Second
	maxBadShare    = 0.10             // of the model's requests while the version is under trial
	shownFailures  = 5                // after so many failures a version has shown that it is bad
	cutAfter       = 10 * time.Second // no work for it this long after it has shown
	spanBadVersion = Kind("badVersion")
)

// badVersionOf returns in which way the version of a seed is bad: it fails at once, fails on one route only, or
// slows.
func badVersionOf(seed uint64) fakeengine.BadVersion {
	bad := fakeengine.BadVersion{Version: bundle.ModelVersion{Model: modelName, Version: badVersion}, Kind: fakeengine.BadFails}
	switch seed % 3 {
	case 1:
		bad.Mark = quickMark
	case 2:
		bad.Kind = fakeengine.BadSlows
	}
	return bad
}

// Lets an operator roll a bad version forward, and notes how the rollout stood at the end.
func (s *soak) rollOutBad(ctx context.Context) {
	for _, u := range s.world.engines {
		u.engine.SetBadVersions(badVersionOf(s.seed))
	}
	next := s.world.bundle
	next.Servers = append([]bundle.Server(nil), next.Servers...)
	for i, srv := range next.Servers {
		if srv.Kind == bundle.KindEngine {
			next.Servers[i].Models = append([]bundle.ModelVersion{{Model: modelName, Version: badVersion}}, srv.Models...)
		}
	}
	next.Models = []bundle.Model{{Name: modelName, Versions: []bundle.VersionShare{{Version: firstVersion}, {Version: badVersion, Share: bundle.ShareTotal}}}}
	for {
		err := s.rollForward(ctx, next)
		if err == nil {
			break
		}
		s.journal.note("roll forward: " + err.Error())
		if !pause.For(ctx, rolloutRetry) {
			return
		}
	}
	end := s.journal.begin(spanBadVersion, badVersion)
	pause.For(ctx, rolloutTime)
	end()
	pages, err := operator.Get[[]operator.RolloutStatus](ctx, s.operator(operatorNames[0]), "/rollouts")
	if err != nil {
		s.journal.note("rollouts: " + err.Error())
	}
	for _, page := range pages {
		s.journal.note(fmt.Sprintf("rollout of %s is %s: %s", page.Model, page.Rollout.State, page.Rollout.Reason))
	}
}

// Stores a bundle, signs it off and asks for it to be in force by the end of rolloutTime.
func (s *soak) rollForward(ctx context.Context, b bundle.Bundle) error {
	name := operatorNames[0]
	client := s.operator(name)
	text, err := json.Marshal(b)
	if err != nil {
		return err
	}
	info, err := operator.PostText[operator.BundleInfo](ctx, client, "/bundles", text)
	if err != nil {
		return err
	}
	heads, err := operator.Get[[]bundle.Head](ctx, client, "/history?limit=1")
	if err != nil {
		return err
	}
	if len(heads) == 0 {
		return fmt.Errorf("the history is empty")
	}
	since := heads[0].BundleSince
	signOff := bundle.Sign(name, s.world.operators[name], bundle.SignOffSubject{BundleID: info.ID, Since: since})
	if _, err := operator.Post[operator.BundleDetails](ctx, client, "/bundles/"+info.ID+"/signoffs", signOff); err != nil {
		return err
	}
	msg := &operator.RollForward{BundleID: info.ID, Since: since, DoneBy: time.Now().Add(rolloutTime)}
	changed, err := operator.PostChange[operator.ChangeResult](ctx, client, "/changes/rollForward", msg)
	if err != nil {
		return err
	}
	s.journal.accept("roll forward", changed.Head.Revision)
	return nil
}

// Finds that a bad version had more than a small share, or work after it had shown.
func (s *soak) badVersionStarts() (found []string) {
	for _, trial := range s.journal.ofKind(spanBadVersion) {
		var all, bad []fakeengine.Start
		for _, u := range s.world.engines {
			for _, start := range u.engine.Starts(trial.from) {
				if start.At.After(trial.to) {
					break
				}
				all = append(all, start)
				if start.Model.Version == badVersion {
					bad = append(bad, start)
				}
			}
		}
		s.journal.note(fmt.Sprintf("the bad version had %d of %d requests", len(bad), len(all)))
		if share := float64(len(bad)) / float64(max(1, len(all))); share > maxBadShare {
			found = append(found, fmt.Sprintf("the bad version had %d of %d requests", len(bad), len(all)))
		}
		if n, last := lateStarts(bad); n > 0 {
			found = append(found, fmt.Sprintf("the bad version had %d requests up to %s after it had shown", n, last.Round(time.Millisecond)))
		}
	}
	return found
}

// Counts the starts that came too long after enough others had failed.
func lateStarts(bad []fakeengine.Start) (n int, last time.Duration) {
	var failed []time.Time
	for _, start := range bad {
		if start.Failed {
			failed = append(failed, start.At)
		}
	}
	if len(failed) < shownFailures {
		return 0, 0
	}
	slices.SortFunc(failed, time.Time.Compare)
	shown := failed[shownFailures-1]
	for _, start := range bad {
		if after := start.At.Sub(shown); after > cutAfter {
			n++
			last = max(last, after)
		}
	}
	return n, last
}
