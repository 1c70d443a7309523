package intent

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/node"
)

// This file defines how an operator at any node learns which nodes have a revision in force. Followers report
// to their relay with every request; the relays of all failure domains are asked on demand.

const pathReport = "/intent/report"

const (
	maxReportCalls = 32 // at a time
	reportTimeout  = time.Second
)

// report is what one node said it has in force.
type report struct {
	life    membership.Incarnation
	inForce bundle.Revision
	problem string
	at      time.Time
}

type reportRequest struct{}

type reportAnswer struct {
	Nodes []NodeReport `json:"nodes"`
}

// NodeReport is what one node has in force.
type NodeReport struct {
	Name    string          `json:"name"`
	Epoch   uint64          `json:"epoch"`
	InForce bundle.Revision `json:"inForce"`
	Problem string          `json:"problem,omitempty"` // why a higher head is not in force
}

// MissingNode is a node that does not have a revision in force, as far as is known.
type MissingNode struct {
	Name   string `json:"name"`
	Reason string `json:"why"`
}

// Report says on which nodes of the list a revision, or a higher one, is in force.
type Report struct {
	Revision bundle.Revision `json:"revision"`
	InForce  []string        `json:"inForce"` // sorted
	Missing  []MissingNode   `json:"missing"` // sorted by name
}

func (in *Intent) noteReport(from node.Sender, req followRequest) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.reports[from.Name] = report{
		life:    membership.Incarnation{Name: from.Name, Epoch: from.Epoch},
		inForce: req.Have,
		problem: req.Problem,
		at:      time.Now(),
	}
}

// Drops old reports and returns how many are left. The caller holds in.mu.
func (in *Intent) followers(now time.Time) int {
	for name, r := range in.reports {
		if now.Sub(r.at) > reportTime {
			delete(in.reports, name)
		}
	}
	return len(in.reports)
}

func (in *Intent) handleReport(context.Context, node.Sender, reportRequest) (reportAnswer, error) {
	return in.localReport(), nil
}

// Returns what this node knows of itself and its followers.
func (in *Intent) localReport() reportAnswer {
	self := in.fleet.Self().Name
	own, _ := in.fleet.View().Node(self)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.followers(time.Now())
	nodes := []NodeReport{{Name: self, Epoch: own.Epoch, InForce: in.state.Applied().Revision, Problem: in.problem}}
	for _, r := range in.reports {
		nodes = append(nodes, NodeReport{Name: r.life.Name, Epoch: r.life.Epoch, InForce: r.inForce, Problem: r.problem})
	}
	return reportAnswer{Nodes: nodes}
}

// InForceReport asks the relays of all failure domains which nodes have revision in force, and then those
// nodes that no relay has heard from. A node that does not answer either is missing with the reason.
func (in *Intent) InForceReport(ctx context.Context, revision bundle.Revision) Report {
	v := in.fleet.View()
	self := in.fleet.Self()
	best := make(collected)
	best.add(in.localReport())
	var relays []membership.Node
	for domain, nodes := range byDomain(v, self) {
		relays = append(relays, membership.Relays(nodes, domain)...)
	}
	in.collect(ctx, relays, best)
	var unheard []membership.Node
	for _, n := range v.Nodes {
		if _, heard := best[n.Name]; !heard {
			unheard = append(unheard, n)
		}
	}
	in.collect(ctx, unheard, best)
	return summarize(revision, v, best)
}

// collected holds the latest report by node.
type collected map[string]NodeReport

func (c collected) add(answer reportAnswer) {
	for _, n := range answer.Nodes {
		old, ok := c[n.Name]
		if !ok || n.Epoch > old.Epoch || n.Epoch == old.Epoch && n.InForce > old.InForce {
			c[n.Name] = n
		}
	}
}

// Asks nodes for the reports that they hold, a bounded number at a time.
func (in *Intent) collect(ctx context.Context, nodes []membership.Node, into collected) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxReportCalls)
	for _, n := range nodes {
		if n.Name == in.fleet.Self().Name {
			continue
		}
		group.Go(func() error {
			answer, err := node.Call[reportRequest, reportAnswer](ctx, in.report, n.Addr, pathReport, reportRequest{})
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				into.add(answer)
			}
			return nil // a node that does not answer is missing from the collection
		})
	}
	group.Wait()
}

// Sorts the nodes of a view by whether their report shows the revision.
func summarize(revision bundle.Revision, v *membership.View, reports collected) Report {
	rep := Report{Revision: revision, InForce: []string{}, Missing: []MissingNode{}}
	for _, n := range v.Nodes {
		r, heard := reports[n.Name]
		switch {
		case !heard || r.Epoch != n.Epoch:
			rep.Missing = append(rep.Missing, MissingNode{n.Name, "not heard from"})
		case r.InForce >= revision:
			rep.InForce = append(rep.InForce, n.Name)
		case r.Problem != "":
			rep.Missing = append(rep.Missing, MissingNode{n.Name, fmt.Sprintf("has revision %d: %s", r.InForce, r.Problem)})
		default:
			rep.Missing = append(rep.Missing, MissingNode{n.Name, fmt.Sprintf("has revision %d", r.InForce)})
		}
	}
	for _, n := range v.Unreachable {
		rep.Missing = append(rep.Missing, MissingNode{n.Name, "unreachable, its lease has not lapsed yet"})
	}
	slices.SortFunc(rep.Missing, func(a, b MissingNode) int { return cmp.Compare(a.Name, b.Name) })
	return rep
}
