// This file defines how a node reports which nodes have a revision in force. Followers report to their relay with every
// request; the relays of all failure domains are asked on demand.

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

const pathReport = "/intent/report"

const (
	maxReportCalls = 32 // in flight
	reportTimeout  = time.Second
)

// followerReport is what a follower last reported to have in force.
type followerReport struct {
	incarnation membership.Incarnation
	inForce     bundle.Revision
	problem     string
	receivedAt  time.Time
}

type reportRequest struct{}

type reportAnswer struct {
	Nodes []NodeReport `json:"nodes"`
}

// NodeReport is what one node reports to have in force.
type NodeReport struct {
	Name    string          `json:"name"`
	Epoch   uint64          `json:"epoch"`
	InForce bundle.Revision `json:"inForce"`
	Problem string          `json:"problem,omitempty"` // why a higher head is not in force
}

// MissingNode is a node that is not known to have a revision in force.
type MissingNode struct {
	Name   string `json:"name"`
	Reason string `json:"why"`
}

// Report lists the nodes that have a revision, or a higher one, in force, and the nodes that do not.
type Report struct {
	Revision bundle.Revision `json:"revision"`
	InForce  []string        `json:"inForce"` // sorted
	Missing  []MissingNode   `json:"missing"` // sorted by name
}

func (in *Intent) recordReport(from node.Sender, req followRequest) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.reports[from.Name] = followerReport{
		incarnation: membership.Incarnation{Name: from.Name, Epoch: from.Epoch},
		inForce:     req.Have,
		problem:     req.Problem,
		receivedAt:  time.Now(),
	}
}

// pruneReports drops old reports and returns how many are left. The caller holds in.mu.
func (in *Intent) pruneReports(now time.Time) int {
	for name, r := range in.reports {
		if now.Sub(r.receivedAt) > maxReportAge {
			delete(in.reports, name)
		}
	}
	return len(in.reports)
}

func (in *Intent) handleReport(context.Context, node.Sender, reportRequest) (reportAnswer, error) {
	return in.localReport(), nil
}

// localReport returns the reports of this node and its followers.
func (in *Intent) localReport() reportAnswer {
	self := in.fleet.Self().Name
	own, _ := in.fleet.View().Node(self)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.pruneReports(time.Now())
	nodes := []NodeReport{{Name: self, Epoch: own.Epoch, InForce: in.state.Applied().Revision, Problem: in.problem}}
	for _, r := range in.reports {
		nodes = append(nodes, NodeReport{Name: r.incarnation.Name, Epoch: r.incarnation.Epoch, InForce: r.inForce, Problem: r.problem})
	}
	return reportAnswer{Nodes: nodes}
}

// InForceReport asks the relays of all failure domains which nodes have revision in force, and then asks the nodes that
// no relay has a report of. It lists a node that does not answer either as missing, with the reason.
func (in *Intent) InForceReport(ctx context.Context, revision bundle.Revision) Report {
	v := in.fleet.View()
	self := in.fleet.Self()
	latest := make(reportsByNode)
	latest.add(in.localReport())
	var relays []membership.Node
	for domain, nodes := range nodesByDomain(v, self) {
		relays = append(relays, membership.Relays(nodes, domain)...)
	}
	in.collect(ctx, relays, latest)
	var unreported []membership.Node
	for _, n := range v.Nodes {
		if _, ok := latest[n.Name]; !ok {
			unreported = append(unreported, n)
		}
	}
	in.collect(ctx, unreported, latest)
	return summarize(revision, v, latest)
}

// reportsByNode holds the latest report of each node, by name.
type reportsByNode map[string]NodeReport

func (reports reportsByNode) add(answer reportAnswer) {
	for _, n := range answer.Nodes {
		old, ok := reports[n.Name]
		if !ok || n.Epoch > old.Epoch || n.Epoch == old.Epoch && n.InForce > old.InForce {
			reports[n.Name] = n
		}
	}
}

// collect asks nodes for the reports that they hold and adds these to into. It bounds the calls in flight.
func (in *Intent) collect(ctx context.Context, nodes []membership.Node, into reportsByNode) {
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxReportCalls)
	for _, n := range nodes {
		if n.Name == in.fleet.Self().Name {
			continue
		}
		group.Go(func() error {
			answer, err := node.Call[reportRequest, reportAnswer](ctx, in.reportClient, n.Addr, pathReport, reportRequest{})
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				into.add(answer)
			}
			return nil // into has no report of a node that does not answer
		})
	}
	group.Wait()
}

// summarize divides the nodes of a view by whether their report shows the revision.
func summarize(revision bundle.Revision, v *membership.View, reports reportsByNode) Report {
	rep := Report{Revision: revision, InForce: []string{}, Missing: []MissingNode{}}
	for _, n := range v.Nodes {
		r, ok := reports[n.Name]
		switch {
		case !ok || r.Epoch != n.Epoch:
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
