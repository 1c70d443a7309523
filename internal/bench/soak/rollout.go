// This file defines the rollout of a bad version and its checks.

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

const (
	badVersion      = "v2"
	quickPhrase     = "Grade check" // in all quick requests and no others
	rolloutTime     = 30 * time.Second
	rolloutRetry    = time.Second
	maxBadShare     = 0.10             // of the model's requests during the rollout
	evidentFailures = 5                // failures after which there is enough evidence that a version is bad
	withdrawWithin  = 10 * time.Second // for the version to get no more work after that evidence
	spanBadVersion  = Kind("badVersion")
)

// badVersionOf returns how the bad version of a seed behaves: it fails all requests, fails only requests with
// quickPhrase, or is slow.
func badVersionOf(seed uint64) fakeengine.BadVersion {
	bad := fakeengine.BadVersion{Version: bundle.ModelVersion{Model: modelName, Version: badVersion}, Kind: fakeengine.BadFails}
	switch seed % 3 {
	case 1:
		bad.Mark = quickPhrase
	case 2:
		bad.Kind = fakeengine.BadSlows
	}
	return bad
}

// rollOutBadVersion lets an operator roll a bad version forward, and notes the state of the rollout at the end.
func (s *soak) rollOutBadVersion(ctx context.Context) {
	for _, e := range s.env.engines {
		e.engine.SetBadVersions(badVersionOf(s.seed))
	}
	next := s.env.bundle
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
		s.journal.addNote("roll forward: " + err.Error())
		if !pause.For(ctx, rolloutRetry) {
			return
		}
	}
	end := s.journal.beginSpan(spanBadVersion, badVersion)
	pause.For(ctx, rolloutTime)
	end()
	statuses, err := operator.Get[[]operator.RolloutStatus](ctx, s.operator(operatorNames[0]), "/rollouts")
	if err != nil {
		s.journal.addNote("rollouts: " + err.Error())
	}
	for _, status := range statuses {
		s.journal.addNote(fmt.Sprintf("rollout of %s is %s: %s", status.Model, status.Rollout.State, status.Rollout.Reason))
	}
}

// rollForward stores a bundle, signs it off, and requests a rollout that is done within rolloutTime.
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
	signOff := bundle.Sign(name, s.env.operators[name], bundle.SignOffSubject{BundleID: info.ID, Since: since})
	if _, err := operator.Post[operator.BundleDetails](ctx, client, "/bundles/"+info.ID+"/signoffs", signOff); err != nil {
		return err
	}
	msg := &operator.RollForward{BundleID: info.ID, Since: since, DoneBy: time.Now().Add(rolloutTime)}
	changed, err := operator.PostChange[operator.ChangeResult](ctx, client, "/changes/rollForward", msg)
	if err != nil {
		return err
	}
	s.journal.addChange("roll forward", changed.Head.Revision)
	return nil
}

// badVersionStarts finds bad versions that got more than maxBadShare of the requests, or that still got requests
// more than withdrawWithin after evidentFailures requests had failed.
func (s *soak) badVersionStarts() (found []string) {
	for _, rollout := range s.journal.spansOf(spanBadVersion) {
		var all, bad []fakeengine.Start
		for _, e := range s.env.engines {
			for _, start := range e.engine.Starts(rollout.from) {
				if start.At.After(rollout.to) {
					break
				}
				all = append(all, start)
				if start.Model.Version == badVersion {
					bad = append(bad, start)
				}
			}
		}
		s.journal.addNote(fmt.Sprintf("the bad version had %d of %d requests", len(bad), len(all)))
		if share := float64(len(bad)) / float64(max(1, len(all))); share > maxBadShare {
			found = append(found, fmt.Sprintf("the bad version had %d of %d requests", len(bad), len(all)))
		}
		if n, last := startsAfterEvidence(bad); n > 0 {
			found = append(found, fmt.Sprintf("the bad version had %d late requests, the last %s after the evidence against it was sufficient", n, last.Round(time.Millisecond)))
		}
	}
	return found
}

// startsAfterEvidence returns the number of starts more than withdrawWithin after the evidentFailures-th failed one, and
// the time from that failed one to the last start.
func startsAfterEvidence(bad []fakeengine.Start) (n int, last time.Duration) {
	var failed []time.Time
	for _, start := range bad {
		if start.Failed {
			failed = append(failed, start.At)
		}
	}
	if len(failed) < evidentFailures {
		return 0, 0
	}
	slices.SortFunc(failed, time.Time.Compare)
	evidentAt := failed[evidentFailures-1]
	for _, start := range bad {
		if after := start.At.Sub(evidentAt); after > withdrawWithin {
			n++
			last = max(last, after)
		}
	}
	return n, last
}
