// This file defines how nodes find out that requests with a certain part crash the servers which begin to answer them.
//
// The node of such a request reports the crash to the judges, two nodes that sum the reports of all. When crashes have a part in
// common, a judge asks every node whether it has seen an answer with that part since, and otherwise quarantines the part: it
// informs all nodes and writes the verdict to the store, for nodes that start later. Quarantined requests are refused
// immediately, those that wait included. Core/quarantine weighs the evidence.

package exchange

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/edge/node"
)

const (
	pathCrashes     = "/exchange/crashes"
	pathPassed      = "/exchange/passed"
	pathQuarantined = "/exchange/quarantined"
)

const (
	// begunEvents is the number of events up to which an answer has only just begun.
	begunEvents = 3
	// passedEvents is the number of events from which an answer is past its beginning. Complete answers are, too.
	passedEvents = 8
	// confirmTimeout limits the check whether a server has ended.
	confirmTimeout = 100 * time.Millisecond
	// shareTimeout limits one message about crashes.
	shareTimeout = 300 * time.Millisecond
	// sharePeriod is how often reports that did not arrive are sent again.
	sharePeriod = 500 * time.Millisecond
	// shareConcurrency is the number of messages about crashes in flight at a node.
	shareConcurrency = 32
	// maxOwnCrashes bounds the reports that a node keeps for judges that do not have them yet.
	maxOwnCrashes = 64
	// maxPassed bounds each of the two generations of parts whose answers a node remembers.
	maxPassed = 16 << 10
)

// Errors of requests that crash servers.
var (
	errQuarantined = errors.New("requests like this one crash servers")
	errSuspected   = errors.New("requests like this one may crash servers")
)

// partsOf returns the parts by which requests that crash servers are recognized: the whole request, and then those of the
// prompt.
func partsOf(adm *Admitted) []uint64 {
	parts := make([]uint64, 0, len(adm.PromptParts)+1)
	parts = append(parts, wholePart(adm))
	for _, id := range adm.PromptParts {
		if part := xxhash.Sum64String("part\x00" + id); !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

func wholePart(adm *Admitted) uint64 {
	h := xxhash.New()
	// Writes to a hash do not fail.
	for _, field := range []string{"whole", adm.Method, adm.Host, adm.Target, adm.Account} {
		_, _ = h.WriteString(field + "\x00")
	}
	for _, id := range adm.PromptParts {
		_, _ = h.WriteString(id + "\x00")
	}
	_, _ = h.Write(adm.Body)
	return h.Sum64()
}

// passes remembers when answers to requests with a part last got past their beginning. It forgets the parts that had none for
// longest. It is not safe for concurrent use.
type passes struct {
	recent, older map[uint64]time.Time
}

func (p *passes) record(part uint64, at time.Time) {
	if p.recent == nil || len(p.recent) >= maxPassed {
		p.older, p.recent = p.recent, make(map[uint64]time.Time)
	}
	p.recent[part] = at
}

func (p *passes) last(part uint64) time.Time {
	if at, ok := p.recent[part]; ok {
		return at
	}
	return p.older[part]
}

// recordPass records that the answer to a request got past its beginning.
func (rt *Runtime) recordPass(parts []uint64) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	for _, part := range parts {
		rt.passes.record(part, now)
		rt.parts.RecordPass(part, now)
	}
}

// quarantined returns how long requests like adm must not run, or 0 if they may.
func (rt *Runtime) quarantined(adm *Admitted) time.Duration {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	v, ok := rt.parts.Quarantined(adm.parts, now)
	if !ok {
		return 0
	}
	return v.Until.Sub(now)
}

// refuseQuarantined returns the refusal of a request that must not run for a time.
func refuseQuarantined(d time.Duration) Refusal {
	return Refusal{Reason: ReasonQuarantined, RetryAfter: d}
}

// confirmCrash records that srv ended before it was past the beginning of its answer to a request, and reports it to the judges, if
// the server refuses connections now: otherwise it only broke off this request. A server that leaves was expected to end.
func (rt *Runtime) confirmCrash(ctx context.Context, adm *Admitted, srv backend.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	if _, err := rt.upstream.Report(ctx, srv); !errors.Is(err, ErrNotSent) || ctx.Err() != nil {
		return
	}
	rt.mu.Lock()
	now := time.Now()
	if rt.leaving(srv, now) || rt.awaitsFreshData(now) {
		rt.mu.Unlock()
		return
	}
	rt.recordCrash(quarantine.PartCrash{ID: crashID(adm, srv), Server: processOf(srv), At: now, Parts: adm.parts})
	rt.mu.Unlock()
}

// recordCrash records a request that was lost in a crash, and reports it to the judges. The caller holds mu.
func (rt *Runtime) recordCrash(c quarantine.PartCrash) {
	if !rt.parts.RecordCrash(c) {
		return
	}
	rt.crashes.add(c)
	event.Log(rt.log, event.BeginningCrashed, event.Fields{"request": c.ID, "server": c.Server, "parts": formatParts(c.Parts)})
	select {
	case rt.crashReported <- struct{}{}:
	default:
	}
}

func crashID(adm *Admitted, srv backend.Server) string { return adm.ID + "@" + srv.ID }

// processOf identifies the process of a server, which may start again under its ID.
func processOf(srv backend.Server) string {
	return srv.ID + "@" + strconv.FormatInt(srv.StartedAt.UnixMilli(), 10)
}

func formatParts(parts []uint64) []string {
	list := make([]string, len(parts))
	for i, part := range parts {
		list[i] = fmt.Sprintf("%016x", part)
	}
	return list
}

// mayBeginAgain reports whether a request that lost srv at the beginning of its answer may begin at another server.
func (rt *Runtime) mayBeginAgain(adm *Admitted, srv backend.Server) bool {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if _, ok := rt.parts.Quarantined(adm.parts, time.Now()); ok {
		return false
	}
	return !rt.parts.Suspected(adm.parts, processOf(srv))
}

// crashReports are the crashes that this node observed, and which judges have them. It is not safe for concurrent use.
type crashReports struct {
	list  []quarantine.PartCrash // newest last
	first int                    // number of the first in list
	sent  map[netip.AddrPort]int // number of the next report for a judge
}

func (r *crashReports) add(c quarantine.PartCrash) {
	r.list = append(r.list, c)
	if n := len(r.list) - maxOwnCrashes; n > 0 {
		r.list, r.first = slices.Clone(r.list[n:]), r.first+n
	}
}

// unsent returns the reports that a judge lacks, and the number of the next one.
func (r *crashReports) unsent(judge netip.AddrPort) (list []quarantine.PartCrash, next int) {
	from := max(0, r.sent[judge]-r.first)
	return slices.Clone(r.list[min(from, len(r.list)):]), r.first + len(r.list)
}

// crashesMessage reports crashes to a judge.
type crashesMessage struct {
	Crashes []crashReport `json:"crashes"`
}

type crashReport struct {
	ID     string   `json:"id"`
	Server string   `json:"server,omitempty"` // process that crashed; nodes of earlier versions do not send it
	AgeMs  int64    `json:"ageMs"`
	Parts  []uint64 `json:"parts"`
}

// passedMessage asks for the last answers to requests with parts since a time.
type passedMessage struct {
	Parts []partAge `json:"parts"`
}

// partAge is a part and the time since an event that concerns it.
type partAge struct {
	Part  uint64 `json:"part"`
	AgeMs int64  `json:"ageMs"`
}

type passedAnswer struct {
	Passed []partAge `json:"passed,omitempty"`
}

// verdictsMessage informs a node of verdicts.
type verdictsMessage struct {
	Verdicts []verdictMessage `json:"verdicts"`
}

type verdictMessage struct {
	Parts   []uint64 `json:"parts"`
	Crashes int      `json:"crashes"`
	ForMs   int64    `json:"forMs"` // how long it lasts
}

type received struct{}

func (rt *Runtime) mountQuarantine(r chi.Router) {
	node.Handle(r, pathCrashes, rt.handleCrashes)
	node.Handle(r, pathPassed, rt.handlePassed)
	node.Handle(r, pathQuarantined, rt.handleQuarantined)
}

func (rt *Runtime) handleCrashes(_ context.Context, _ node.Sender, msg crashesMessage) (received, error) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	now := time.Now()
	for _, c := range msg.Crashes {
		at := now.Add(-time.Duration(c.AgeMs) * time.Millisecond)
		rt.parts.RecordCrash(quarantine.PartCrash{ID: c.ID, Server: c.Server, At: at, Parts: c.Parts})
	}
	select {
	case rt.crashReported <- struct{}{}:
	default:
	}
	return received{}, nil
}

func (rt *Runtime) handlePassed(_ context.Context, _ node.Sender, msg passedMessage) (passedAnswer, error) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	var answer passedAnswer
	now := time.Now()
	for _, q := range msg.Parts {
		if age := now.Sub(rt.passes.last(q.Part)).Milliseconds(); age < q.AgeMs {
			answer.Passed = append(answer.Passed, partAge{q.Part, age})
		}
	}
	return answer, nil
}

func (rt *Runtime) handleQuarantined(_ context.Context, _ node.Sender, msg verdictsMessage) (received, error) {
	now := time.Now()
	var list []quarantine.PartVerdict
	for _, v := range msg.Verdicts {
		list = append(list, quarantine.PartVerdict{
			Parts: v.Parts, Crashes: v.Crashes, Until: now.Add(time.Duration(v.ForMs) * time.Millisecond),
		})
	}
	rt.MergeVerdicts(list)
	return received{}, nil
}

// MergeVerdicts applies verdicts of another node or of the store.
func (rt *Runtime) MergeVerdicts(list []quarantine.PartVerdict) {
	rt.mu.Lock()
	now := time.Now()
	added := false
	for _, v := range list {
		added = rt.parts.Merge(v, now) || added
	}
	rt.mu.Unlock()
	if added {
		rt.grantWaiting()
	}
}

// Verdicts returns the verdicts in force.
func (rt *Runtime) Verdicts() []quarantine.PartVerdict {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.parts.Verdicts(time.Now())
}

// ShareCrashes reports the crashes that this node observes to the judges, and judges if it is one of them, until ctx ends.
func (rt *Runtime) ShareCrashes(ctx context.Context, client *node.Client) error {
	client = client.Derive(node.WithTimeout(shareTimeout))
	ticker := time.NewTicker(sharePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-rt.crashReported:
		case <-ticker.C:
		}
		judges, self := rt.fleet.Judges()
		rt.reportCrashes(ctx, client, judges)
		if self {
			rt.judge(ctx, client)
		}
	}
}

// reportCrashes sends each judge the reports that it lacks.
func (rt *Runtime) reportCrashes(ctx context.Context, client *node.Client, judges []Peer) {
	rt.mu.Lock()
	addrs := addrsOf(judges)
	maps.DeleteFunc(rt.crashes.sent, func(addr netip.AddrPort, _ int) bool { return !slices.Contains(addrs, addr) })
	rt.mu.Unlock()
	var group errgroup.Group
	for _, j := range judges {
		rt.mu.Lock()
		list, next := rt.crashes.unsent(j.Addr)
		rt.mu.Unlock()
		if len(list) == 0 {
			continue
		}
		group.Go(func() error {
			now := time.Now()
			var msg crashesMessage
			for _, c := range list {
				msg.Crashes = append(msg.Crashes, crashReport{c.ID, c.Server, now.Sub(c.At).Milliseconds(), c.Parts})
			}
			if _, err := node.Call[crashesMessage, received](ctx, client, j.Addr, pathCrashes, msg); err != nil {
				return err
			}
			rt.mu.Lock()
			defer rt.mu.Unlock()
			rt.crashes.sent[j.Addr] = next
			return nil
		})
	}
	_ = group.Wait() // what did not arrive is sent again
}

// judge asks all nodes about the parts that could be quarantined, and quarantines those that no answer speaks for.
func (rt *Runtime) judge(ctx context.Context, client *node.Client) {
	rt.mu.Lock()
	now := time.Now()
	queries := rt.parts.Queries(now)
	for _, q := range queries {
		rt.parts.RecordPass(q.Part, rt.passes.last(q.Part))
	}
	rt.mu.Unlock()
	if len(queries) == 0 {
		return
	}
	peers := rt.fleet.Peers()
	rt.askPassed(ctx, client, peers, queries)
	rt.mu.Lock()
	now = time.Now()
	verdicts := rt.parts.Judge(queries, now)
	rt.mu.Unlock()
	if len(verdicts) == 0 {
		return
	}
	rt.grantWaiting()
	var msg verdictsMessage
	for _, v := range verdicts {
		event.Log(rt.log, event.PartQuarantined, event.Fields{
			"parts": formatParts(v.Parts), "crashes": v.Crashes, "forMs": v.Until.Sub(now).Milliseconds(),
		})
		msg.Verdicts = append(msg.Verdicts, verdictMessage{v.Parts, v.Crashes, v.Until.Sub(now).Milliseconds()})
	}
	// Nodes that do not answer read the verdicts from the store.
	callAll(peers, func(p Peer) {
		_, _ = node.Call[verdictsMessage, received](ctx, client, p.Addr, pathQuarantined, msg)
	})
}

// askPassed asks all peers for answers to requests with the parts queried, and records them. A node that does not answer
// has none that could be known.
func (rt *Runtime) askPassed(ctx context.Context, client *node.Client, peers []Peer, queries []quarantine.Query) {
	now := time.Now()
	var msg passedMessage
	for _, q := range queries {
		msg.Parts = append(msg.Parts, partAge{q.Part, now.Sub(q.Since).Milliseconds()})
	}
	callAll(peers, func(p Peer) {
		answer, err := node.Call[passedMessage, passedAnswer](ctx, client, p.Addr, pathPassed, msg)
		if err != nil {
			return
		}
		rt.mu.Lock()
		defer rt.mu.Unlock()
		now := time.Now()
		for _, a := range answer.Passed {
			rt.parts.RecordPass(a.Part, now.Add(-time.Duration(a.AgeMs)*time.Millisecond))
		}
	})
}

// callAll calls fn for each peer, for several at a time.
func callAll(peers []Peer, fn func(p Peer)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, shareConcurrency)
	for _, p := range peers {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			fn(p)
		})
	}
	group.Wait()
}
