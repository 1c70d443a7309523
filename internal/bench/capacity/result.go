// This file defines a complete measurement.

package capacity

import (
	"context"
	"errors"
	"fmt"
	"runtime"
)

// Key identifies a slope.
type Key string

// The slopes.
const (
	KeyRelayBytes          Key = "relayBytes"
	KeyRelayDomains        Key = "relayDomains"
	KeyFollowerBytes       Key = "followerBytes"
	KeyRestCPU             Key = "restCore"
	KeyRestHeap            Key = "restHeap"
	KeyStoreReads          Key = "storeReads"
	KeyStoreWrites         Key = "storeWrites"
	KeyMarkSpread          Key = "markSpread"
	KeyMarkCPU             Key = "markCore"
	KeyMarkBytes           Key = "markBytes"
	KeyMarkReads           Key = "markReads"
	KeyJoinBytes           Key = "joinBytes"
	KeyJoinTime            Key = "joinTime"
	KeyJoinCPU             Key = "joinCore"
	KeyDetectionInDomain   Key = "deathNear"
	KeyDetectionEverywhere Key = "deathFar"
	KeyReportTime          Key = "reportTime"
	KeyReportBytes         Key = "reportBytes"
	KeyFullSync            Key = "wholeCopy"
	KeyDeltaFollower       Key = "smallCopy"
	KeyDeltaRelay          Key = "smallRelay"
	KeyDocSpread           Key = "documentSpread"
	KeyDocCPU              Key = "documentCore"
	KeyDocHeap             Key = "documentHeap"
	KeyDocReads            Key = "documentReads"
	KeyView                Key = "view"
	KeyOwners              Key = "owners"
	KeySubsets             Key = "subsets"
	KeyChoose              Key = "chooseEntries"
	KeyAssemble            Key = "assemble"
	KeyDecide              Key = "decide"
	KeyLengths             Key = "lengths"
	KeyLedgerWrites        Key = "ledgerWrites"
	KeyLedgerBytes         Key = "ledgerBytes"
	KeyLedgerCPU           Key = "ledgerCore"
	KeySliceBytes          Key = "sliceBytes"
	KeySliceRound          Key = "sliceRound"
	KeyEvidenceBytes       Key = "evidenceBytes"
	KeyEvidenceTime        Key = "evidenceCore"
	KeyStreamCPU           Key = "streamCore"
	KeyStreamMemory        Key = "streamMemory"
)

// Result holds the measured slopes and the table that they give at the target size.
type Result struct {
	Machine string         `json:"machine"`
	Slopes  map[Key]*Slope `json:"slopes"`
	Table   Table          `json:"table"`
}

// Measure measures all slopes and computes the table.
func Measure(ctx context.Context, effort Effort, progress Progress) (*Result, error) {
	m := newMeasurer(effort, progress)
	r := &Result{Machine: machine(), Slopes: make(map[Key]*Slope)}
	for _, measure := range []func(context.Context, *Result) error{m.measureFleets, m.measureDecisions, m.measureStreams} {
		if err := measure(ctx, r); err != nil {
			return nil, err
		}
	}
	r.ComputeTable()
	return r, nil
}

// MeasureDecisions replaces the slopes of decisions and messages by new measurements, which need no fleet, and computes
// the table.
func (r *Result) MeasureDecisions(ctx context.Context, effort Effort, progress Progress) error {
	r.Machine = machine()
	if err := newMeasurer(effort, progress).measureDecisions(ctx, r); err != nil {
		return err
	}
	r.ComputeTable()
	return nil
}

func machine() string {
	return fmt.Sprintf("%s/%s, %d cores, %s, loopback TCP, all nodes and stand-ins in one process",
		runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}

func (m *measurer) measureFleets(ctx context.Context, r *Result) error {
	for _, shape := range allShapes() {
		if err := m.measureFleet(ctx, shape); err != nil {
			return fmt.Errorf("fleet of %d nodes: %w", shape.Nodes(), err)
		}
	}
	docs := newDocumentSamples()
	if err := m.measureDocuments(ctx, docs); err != nil {
		return fmt.Errorf("documents: %w", err)
	}
	return errors.Join(r.fit(m.samples()), r.fit(docs.samples()))
}

func (m *measurer) measureDecisions(ctx context.Context, r *Result) error {
	decisions, messages := newDecisionSamples(), newMessageSamples()
	if err := m.timeDecisions(decisions); err != nil {
		return fmt.Errorf("decision code: %w", err)
	}
	if err := m.measureMessages(ctx, messages); err != nil {
		return fmt.Errorf("messages: %w", err)
	}
	return errors.Join(r.fit(decisions.samples()), r.fit(messages.samples()))
}

func (m *measurer) measureStreams(ctx context.Context, r *Result) error {
	cpu := newSamples("processor time of relaying streams, beyond the same streams without a node", "cores", "tokens a second through the node")
	memory := newSamples("memory of streams through a node, the emulated engine's and the callers' part included", "B", "streams")
	if err := m.measureRelay(ctx, cpu, memory); err != nil {
		return fmt.Errorf("streams: %w", err)
	}
	return r.fit(map[Key]*samples{KeyStreamCPU: cpu, KeyStreamMemory: memory})
}

// fit adds a slope for each set of samples.
func (r *Result) fit(collected map[Key]*samples) error {
	for key, s := range collected {
		slope, err := s.fit(commandText)
		if err != nil {
			return err
		}
		r.Slopes[key] = slope
	}
	return nil
}

func allShapes() []Shape {
	var all []Shape
	for _, family := range [][]Shape{shapesByPerDomain, shapesByDomains, shapesByNodes} {
		for _, shape := range family {
			if !inFamily(all, shape) {
				all = append(all, shape)
			}
		}
	}
	return all
}

func (m *measurer) samples() map[Key]*samples {
	return map[Key]*samples{
		KeyRelayBytes: m.relayBytes, KeyRelayDomains: m.relayBytesByDomains, KeyFollowerBytes: m.followerBytes,
		KeyRestCPU: m.restCPU, KeyRestHeap: m.restHeap, KeyStoreReads: m.storeReads, KeyStoreWrites: m.storeWrites,
		KeyMarkSpread: m.markSpread, KeyMarkCPU: m.markCPU, KeyMarkBytes: m.markBytes, KeyMarkReads: m.markReads,
		KeyJoinBytes: m.joinBytes, KeyJoinTime: m.joinTime, KeyJoinCPU: m.joinCPU,
		KeyDetectionInDomain: m.detectionInDomain, KeyDetectionEverywhere: m.detectionEverywhere,
		KeyReportTime: m.reportTime, KeyReportBytes: m.reportBytes,
	}
}

func (s *documentSamples) samples() map[Key]*samples {
	return map[Key]*samples{
		KeyFullSync: s.fullSync, KeyDeltaFollower: s.deltaFollower, KeyDeltaRelay: s.deltaRelay,
		KeyDocSpread: s.spread, KeyDocCPU: s.cpu, KeyDocHeap: s.heap, KeyDocReads: s.storeReads,
	}
}

func (s *decisionSamples) samples() map[Key]*samples {
	return map[Key]*samples{
		KeyView: s.view, KeyOwners: s.owners, KeySubsets: s.subsets, KeyChoose: s.choose, KeyAssemble: s.assemble,
		KeyDecide: s.decide, KeyLengths: s.lengths,
		KeyLedgerWrites: s.ledgerWrites, KeyLedgerBytes: s.ledgerBytes, KeyLedgerCPU: s.ledgerCPU,
	}
}
