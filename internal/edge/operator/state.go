// This file serves the routes that report the state of the fleet.

package operator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/edge/document"
)

const (
	surveyTimeout  = 2 * time.Second
	surveyInterval = 250 * time.Millisecond
	maxSpreadWait  = 30 * time.Second
	// shownHashLength is the number of characters that are shown of a key's hash.
	shownHashLength = 12
)

func (s *Server) registerState(r chi.Router) {
	r.Get("/status", s.handle(s.status))
	r.Get("/spread", s.handle(s.spread))
	r.Get("/domains", s.handle(s.domains))
	r.Get("/move", s.handle(s.move))
	r.Get("/keys", s.handle(s.keys))
}

func (s *Server) survey(ctx context.Context, names []string) []NodeState {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	return s.fleet.Survey(ctx, names)
}

func (s *Server) status(r request) (any, error) {
	ctx, cancel := context.WithTimeout(r.Context(), surveyTimeout)
	defer cancel()
	_, _, err := document.LoadHead(ctx, s.store)
	nodes := s.survey(r.Context(), nil)
	return Status{
		Node: s.fleet.View().Self, Head: r.in.Head, Bundle: s.describe(r.in.Bundle), StoreReachable: err == nil,
		Nodes: nodes, Domains: domainLoads(r.in, nodes),
	}, nil
}

func (s *Server) domains(r request) (any, error) {
	return domainLoads(r.in, s.survey(r.Context(), nil)), nil
}

// domainLoads adds up the running work of all nodes by failure domain.
func domainLoads(in *bundle.InForce, nodes []NodeState) []DomainLoad {
	loads := make(map[string]*DomainLoad)
	domainOf := make(map[string]string)
	for _, srv := range in.Bundle.Servers {
		d := loads[srv.FailureDomain]
		if d == nil {
			d = &DomainLoad{FailureDomain: srv.FailureDomain}
			d.OutOfService = slices.Contains(in.Head.OutOfService.FailureDomains, srv.FailureDomain)
			loads[srv.FailureDomain] = d
		}
		d.Servers++
		if in.Usable(srv) {
			d.Usable++
		}
		domainOf[srv.ID] = srv.FailureDomain
	}
	var unknown []string
	for _, n := range nodes {
		if n.Error != "" {
			unknown = append(unknown, n.Node)
		}
		for server, running := range n.Running {
			if d := loads[domainOf[server]]; d != nil {
				d.Running += running
			}
		}
	}
	list := []DomainLoad{}
	for _, d := range loads {
		d.Unknown = unknown
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b DomainLoad) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return list
}

// spread waits until a revision is in force on every node or the requested time has passed, and returns the nodes
// that lack it. It repeats the survey only for those nodes.
func (s *Server) spread(r request) (any, error) {
	rev, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		return nil, &Failure{Code: CodeInvalid, Message: fmt.Sprintf("revision: %v", err)}
	}
	var wait time.Duration
	if text := r.URL.Query().Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return nil, &Failure{Code: CodeInvalid, Message: fmt.Sprintf("wait: %v", err)}
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxSpreadWait)+surveyTimeout)
	defer cancel()
	timer := time.NewTimer(min(wait, maxSpreadWait))
	defer timer.Stop()
	reached := make(map[string]bool)
	for {
		spread := s.surveySpread(ctx, bundle.Revision(rev), reached)
		if spread.Complete() {
			return spread, nil
		}
		select {
		case <-timer.C:
			return spread, nil
		case <-ctx.Done():
			return spread, nil
		case <-time.After(surveyInterval):
		}
	}
}

// surveySpread surveys the nodes that are not in reached, and adds the nodes that have the revision to it. A node that
// failed heartbeats counts as long as its lease lasts: it may have stood still for a moment, and acts again.
func (s *Server) surveySpread(ctx context.Context, rev bundle.Revision, reached map[string]bool) Spread {
	spread := Spread{Revision: rev}
	var pending []string
	view := s.fleet.View()
	for _, n := range slices.Concat(view.Nodes, view.Unreachable) {
		spread.Nodes++
		if !reached[n.Name] {
			pending = append(pending, n.Name)
		}
	}
	spread.InForce = spread.Nodes - len(pending)
	if len(pending) == 0 {
		return spread
	}
	for _, state := range s.survey(ctx, pending) {
		if state.Error == "" && state.Revision >= rev {
			reached[state.Node] = true
			spread.InForce++
			continue
		}
		spread.Missing = append(spread.Missing, state)
	}
	return spread
}

func (s *Server) keys(r request) (any, error) {
	k := r.in.Keys
	answer := KeysInfo{Revision: k.Revision, Operators: k.Operators, OtherSignOffs: k.OtherSignOffs, Accounts: []AccountInfo{}}
	for _, a := range k.Accounts {
		info := AccountInfo{ID: a.ID, Limits: a.Limits, Keys: []string{}}
		for _, h := range a.KeyHashes {
			info.Keys = append(info.Keys, h[:min(len(h), shownHashLength)])
		}
		answer.Accounts = append(answer.Accounts, info)
	}
	for i, t := range k.TokenKeys {
		answer.TokenKeys = append(answer.TokenKeys, TokenKeyInfo{ID: t.ID, NotAfter: t.NotAfter, Signs: i == 0})
	}
	return answer, nil
}

// move counts the work that still runs on what a mark names. For a VM, this is all work of the node on that VM.
func (s *Server) move(r request) (any, error) {
	mark := bundle.Mark{Kind: bundle.MarkKind(r.URL.Query().Get("kind")), Name: r.URL.Query().Get("name")}
	status := MoveStatus{Head: r.in.Head, Out: r.in.Head.OutOfService.Has(mark)}
	if head, _, err := document.LoadHead(r.Context(), s.store); err == nil {
		status.Head, status.Out = head, head.OutOfService.Has(mark)
	}
	for _, n := range s.survey(r.Context(), nil) {
		if n.Error != "" && (mark.Kind != bundle.MarkVM || n.Node == mark.Name) {
			status.Unknown = append(status.Unknown, n.Node)
		}
		for id, running := range n.Running {
			if s.markCovers(r.in, mark, n.Node, id) {
				status.Running += running
			}
		}
	}
	return status, nil
}

// markCovers reports whether a mark names the given server, its failure domain, or the VM of the node that uses it.
func (s *Server) markCovers(in *bundle.InForce, mark bundle.Mark, node, server string) bool {
	switch mark.Kind {
	case bundle.MarkVM:
		return node == mark.Name
	case bundle.MarkServer:
		return server == mark.Name
	}
	srv, ok := in.Server(server)
	return ok && srv.FailureDomain == mark.Name
}
