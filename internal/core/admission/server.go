package admission

import (
	"slices"
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/commit"
	"ebonyferry/internal/core/routing"
	"ebonyferry/internal/core/warmup"
)

const profileMaxAge = 400 * time.Millisecond // after which the loads of running streams are predicted again

// server is a backend server that runs an engine, with the streams of this node on it.
type server struct {
	bundle.Server
	streams  []*Ticket
	pending  int // streams without a first token
	suspects int // streams of suspect requests
	warm     *warmup.Tracker
	cache    *routing.Cache
	out      bool // operators took it out of service, or the configuration no longer has it
	leaving  bool // the server itself or the platform reports that it will stop

	profile   commit.Profile // sum of the loads of streams, as predicted at profileAt
	profileAt time.Time
	tokenGap  ewma         // seconds between tokens
	usualGap  decayingMean // long-term mean of tokenGap
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

// serves reports whether the server serves the model at the version.
func (s *server) serves(model, version string) bool {
	return slices.Contains(s.Models, bundle.ModelVersion{Model: model, Version: version})
}

func (s *server) inService() bool { return !s.out && !s.leaving }

// committed returns the memory committed to the running streams. The caller must not change it.
func (s *server) committed(now time.Time) *commit.Profile {
	if !s.profileAt.IsZero() && now.Sub(s.profileAt) < profileMaxAge {
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
