package admission

import (
	"slices"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/commit"
	"ebonyferry/internal/core/routing"
	"ebonyferry/internal/core/warmup"
)

// This file defines what a node knows of one backend server.

const profileLife = 400 * time.Millisecond // after which running streams are predicted anew

// server is a model engine with the streams that this node runs on it.
type server struct {
	bundle.Server
	streams  []*Ticket
	pending  int // streams that have not had their first token
	suspects int // streams of suspect requests
	warm     *warmup.Tracker
	cache    *routing.Cache
	out      bool // operators took it out of service, or it left the configuration
	leaving  bool // it said so itself, or the platform did

	profile   commit.Profile // sum of the loads of streams, which were predicted at profileAt
	profileAt time.Time
	gap       ewma  // seconds between tokens
	usualGap  usual // the same over a long time
	bootID    string
	crash     crash
}

func newServer(cfg bundle.Server, gapTarget time.Duration) *server {
	return &server{
		Server: cfg,
		warm:   warmup.New(cfg.ColdStreams, cfg.MaxStreams, gapTarget),
		cache:  routing.NewCache(),
	}
}

// Serves reports whether the server serves the model at the version.
func (s *server) serves(model, version string) bool {
	return slices.Contains(s.Models, bundle.ModelVersion{Model: model, Version: version})
}

func (s *server) inService() bool { return !s.out && !s.leaving }

// Committed returns the memory promised to the running streams. The caller does not change it.
func (s *server) committed(now time.Time) *commit.Profile {
	if !s.profileAt.IsZero() && now.Sub(s.profileAt) < profileLife {
		return &s.profile
	}
	s.profile = commit.Profile{}
	for _, t := range s.streams {
		t.load = t.profile()
		s.profile.Add(&t.load)
	}
	s.profileAt = now
	return &s.profile
}

func (s *server) add(t *Ticket) {
	s.streams = append(s.streams, t)
	s.pending++
	s.profile.Add(&t.load)
	if t.suspect {
		s.suspects++
	}
}

func (s *server) remove(t *Ticket) bool {
	i := slices.Index(s.streams, t)
	if i < 0 {
		return false
	}
	last := len(s.streams) - 1
	s.streams[i] = s.streams[last]
	s.streams[last] = nil
	s.streams = s.streams[:last]
	s.profile.Sub(&t.load)
	if t.firstAt.IsZero() {
		s.pending--
	}
	if t.suspect {
		s.suspects--
	}
	return true
}
