package capacity

import (
	"fmt"
	"time"

	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/rollout"
	"ebonyferry/internal/run/fleet"
)

// This file works out the target size from the slopes.

// Table is what the slopes give at the target size.
type Table struct {
	Roles     []Role       `json:"roles"`
	Budgets   []Budget     `json:"budgets"`
	Store     []StoreCalls `json:"store"`
	Scenarios []Scenario   `json:"days"`
}

// Role is one duty of a node and what it costs at the target size.
type Role struct {
	Name      string `json:"name"`
	State     string `json:"state"`
	Messages  string `json:"messages"`
	Processor string `json:"processor"`
	Memory    string `json:"memory"`
	Mechanism string `json:"mechanism"`
	Slopes    []Key  `json:"slopes"` // that the figures come from
}

// Budget compares a figure with what the target allows.
type Budget struct {
	Name       string  `json:"name"`
	Figure     float64 `json:"figure"`
	Spread     float64 `json:"spread"` // of the measurements behind it
	Allowed    float64 `json:"allowed"`
	Unit       string  `json:"unit"`
	Derivation string  `json:"sum"` // how the figure comes about
	Remedy     string  `json:"remedy"`
}

// Fits reports whether the figure stays within what is allowed.
func (b Budget) Fits() bool { return b.Figure <= b.Allowed }

// StoreCalls is calls of the platform's service.
type StoreCalls struct {
	Kind       string  `json:"kind"`
	PerSecond  float64 `json:"perSecond"`
	Derivation string  `json:"sum"`
	Writes     bool    `json:"writes"`
}

// Scenario is an event of the ordinary or the bad day and what it costs.
type Scenario struct {
	Name         string `json:"name"`
	Detection    string `json:"how"`     // it is noticed, and by when
	Cost         string `json:"cost"`    // in messages and processor time
	CallerImpact string `json:"service"` // what callers notice
}

// relays is the number of nodes that watch the store at the target size.
const relays = membership.RelaysPerDomain * 8

// followersPerRelay is how many nodes follow one relay at the target size.
var followersPerRelay = float64(Target.Nodes-relays) / relays

// bookingsShare is the part of the requests that is taken to be calls that may not be repeated, in the worked
// sum; the target does not state it.
const bookingsShare = 0.002

// at returns the figure of a slope at a size.
func (r *Result) at(key Key, size float64) float64 { return r.Slopes[key].At(size) }

// Returns the bytes a second of a relay at rest at the target size: the line by nodes of a domain, and what
// each further domain adds.
func (r *Result) relayRest() float64 {
	further := float64(Target.Domains - shapesByPerDomain[0].Domains)
	return r.at(KeyRelayBytes, nodesPerDomain) + further*max(0, r.Slopes[KeyRelayDomains].Slope)
}

// Returns the bytes a second that changes of configuration cost a relay, when each replaces one server and one
// account in the documents: the differences to its followers, and its part of the reads from the store.
func (r *Result) relayChanges() float64 {
	changes := float64(Target.ChangesPerDay) / secondsPerDay
	accounts := float64(Target.Accounts)
	mark := r.at(KeyMarkBytes, float64(Target.Nodes))
	difference := r.at(KeyDeltaFollower, accounts)
	const baseOverhead = 4.0 / 3 // of the parts in the store, twice encoded
	read := r.at(KeyFullSync, accounts) * baseOverhead * baseOverhead * 2 / relays
	return changes * (mark + difference*(1+followersPerRelay) + read)
}

// Returns the processor time of control in cores of a node: at rest, and for all changes of the day, each as a
// change of documents, and all changes of membership. A relay's part is in proportion to its bytes.
func (r *Result) controlCore(bytes float64) float64 {
	nodes, accounts := float64(Target.Nodes), float64(Target.Accounts)
	rest := r.at(KeyRestCore, nodes) * max(1, bytes/r.at(KeyFollowerBytes, nodesPerDomain))
	changes := float64(Target.ChangesPerDay) * (r.at(KeyDocCore, accounts) + r.at(KeyMarkCore, nodes))
	moves := r.membershipChanges() * (r.at(KeyJoinCore, nodes) + r.at(KeyOwners, nodes) + r.at(KeySubsets, nodes) + r.at(KeyView, nodes))
	return rest + (changes+moves)/1000/secondsPerDay
}

// Returns the changes of membership in a day: each VM that fails or is replaced leaves and joins.
func (r *Result) membershipChanges() float64 {
	return 2 * float64(Target.FailuresPerDay+Target.ReplacedPerDay)
}

// Returns the memory of control in bytes of a node.
func (r *Result) controlMemory() float64 {
	return r.at(KeyRestHeap, float64(Target.Nodes)) + r.at(KeyDocHeap, float64(Target.Accounts)) + r.at(KeyLengths, float64(Target.Accounts))
}

// Returns the bytes a second of a node's rounds of slices, as holder and as owner, when every server that it
// uses has an owner of its own.
func (r *Result) sliceBytes(round time.Duration) float64 {
	return 2 * serversPerNode * r.at(KeySliceBytes, 1) / round.Seconds()
}

// The periods in which a holder asks for its slices: while demand moves, and while it does not.
const (
	sliceRound     = time.Second
	sliceIdleRound = 4 * time.Second
)

// verdictTime is how often a node reads the verdicts on requests that crash servers.
const verdictTime = 30 * time.Second

// evidenceTime is how often a node reports during a rollout at the target size.
const evidenceTime = 2 * rollout.Period

// Returns the calls a second of one partition of the ledger under bookingsShare.
func bookingsPerPartition() float64 {
	return float64(Target.RequestsPerSecond) * bookingsShare / ledger.Partitions
}

// Works out the table.
func (r *Result) workOut() Table {
	return Table{Roles: r.roles(), Budgets: r.budgets(), Store: r.store(), Scenarios: r.days()}
}

func (r *Result) budgets() []Budget {
	nodes, accounts := float64(Target.Nodes), float64(Target.Accounts)
	relayBytes := r.relayRest() + r.relayChanges()
	follower := r.at(KeyFollowerBytes, nodesPerDomain) + float64(Target.ChangesPerDay)/secondsPerDay*r.at(KeyDeltaFollower, accounts)
	worst := float64(Target.ChangesPerDay) / secondsPerDay * r.at(KeyFullSync, accounts) * (1 + followersPerRelay)
	ledgerBytes := r.at(KeyLedgerBytes, bookingsPerPartition()) * 4 / 3
	reads, writes := r.storeSums()
	return []Budget{
		{Name: "processor time of control, a relay", Figure: 100 * r.controlCore(relayBytes), Spread: 100 * r.Slopes[KeyRestCore].Spread, Allowed: 100 * budgetCore, Unit: "% of a core",
			Derivation: "at rest in proportion to its bytes, and every change of the day"},
		{Name: "processor time of control, another node", Figure: 100 * r.controlCore(0), Spread: 100 * r.Slopes[KeyRestCore].Spread, Allowed: 100 * budgetCore, Unit: "% of a core",
			Derivation: "at rest, and every change of the day"},
		{Name: "memory of control", Figure: r.controlMemory() / (1 << 20), Spread: r.Slopes[KeyDocHeap].Spread / (1 << 20), Allowed: float64(budgetMemory) / (1 << 20), Unit: "MB",
			Derivation: "membership and clients, documents in force and kept, length predictor"},
		{Name: "bytes of control, a relay", Figure: relayBytes / 1024, Spread: r.Slopes[KeyRelayBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: fmt.Sprintf("%.1f at rest with %.1f followers, and %.2f for changes of one server and one account", r.relayRest()/1024, followersPerRelay, r.relayChanges()/1024)},
		{Name: "bytes of control, another node", Figure: follower / 1024, Spread: r.Slopes[KeyFollowerBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: "at rest, and changes of one server and one account"},
		{Name: "bytes of slices, while demand moves at every server", Figure: r.sliceBytes(sliceRound) / 1024, Spread: 2 * serversPerNode * r.Slopes[KeySliceBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: fmt.Sprintf("%d servers a node, each with an owner of its own, asked every %v, and as many answered", serversPerNode, sliceRound),
			Remedy:     "owners would be chosen by group of servers with the same users, so that one message carries several servers; or rounds of 3 s"},
		{Name: "bytes of slices, while demand is steady", Figure: r.sliceBytes(sliceIdleRound) / 1024, Spread: 2 * serversPerNode * r.Slopes[KeySliceBytes].Spread / sliceIdleRound.Seconds() / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: fmt.Sprintf("the same every %v", sliceIdleRound)},
		{Name: "bytes of control of a relay with its slices, while demand is steady", Figure: (relayBytes + r.sliceBytes(sliceIdleRound)) / 1024, Spread: r.Slopes[KeyRelayBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: "sum of the two lines above",
			Remedy:     "as for slices; or relays would own and use fewer servers"},
		{Name: "bytes of control of another node with its slices, while demand is steady", Figure: (follower + r.sliceBytes(sliceIdleRound)) / 1024, Spread: r.Slopes[KeyFollowerBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: "sum of the lines above"},
		{Name: "bytes of a relay if every change replaced both documents whole", Figure: (r.relayRest() + worst) / 1024, Spread: r.Slopes[KeyRelayBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: "every account and server differs in each of the 410 changes",
			Remedy:     "documents would go down a tree in which followers serve followers, so that no node sends more than two copies; not built, since changes touch few elements"},
		{Name: "bytes that the owner of a ledger partition writes to the store", Figure: ledgerBytes / 1024, Spread: r.Slopes[KeyLedgerBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: fmt.Sprintf("%.1f calls a second in each of %d partitions, if %.1f%% of all requests may not be repeated", bookingsPerPartition(), ledger.Partitions, 100*bookingsShare),
			Remedy:     "the head is written whole with each group, so its size decides: seal it at 2 KB instead of 16 KB, or write each group as a segment of its own and only its name into the head"},
		{Name: "time until a mark is in force everywhere", Figure: r.at(KeyMarkSpread, nodes) / 1000, Spread: r.Slopes[KeyMarkSpread].Spread / 1000, Allowed: budgetChange.Seconds(), Unit: "s",
			Derivation: "all nodes up; a follower whose relay dies at that moment adds up to 2.3 s"},
		{Name: "time until new documents are in force everywhere", Figure: (r.at(KeyDocSpread, accounts) + r.at(KeyMarkSpread, nodes)) / 1000, Spread: r.Slopes[KeyDocSpread].Spread / 1000, Allowed: budgetChange.Seconds(), Unit: "s",
			Derivation: "by size of the documents, and the mark's time by nodes"},
		{Name: "store writes", Figure: writes, Spread: r.Slopes[KeyStoreWrites].Spread, Allowed: budgetWrites, Unit: "1/s", Derivation: "sum of the table by kind of call"},
		{Name: "store reads", Figure: reads, Spread: r.Slopes[KeyStoreReads].Spread, Allowed: budgetReads, Unit: "1/s", Derivation: "sum of the table by kind of call"},
	}
}

func (r *Result) store() []StoreCalls {
	nodes := float64(Target.Nodes)
	changes := float64(Target.ChangesPerDay) / secondsPerDay
	moves := r.membershipChanges() / secondsPerDay
	ledgerWrites := r.at(KeyLedgerWrites, bookingsPerPartition()) * ledger.Partitions
	return []StoreCalls{
		{Kind: "keepAlive", Writes: true, PerSecond: r.at(KeyStoreWrites, nodes),
			Derivation: fmt.Sprintf("%d nodes, each every %v less a random part; measured, the registrations of the window included", Target.Nodes, fleet.DefaultTiming.RenewInterval)},
		{Kind: "compareAndSwap and grantLease, registrations", Writes: true, PerSecond: 2 * moves / 2,
			Derivation: fmt.Sprintf("%.0f registrations a day of two writes", r.membershipChanges()/2)},
		{Kind: "compareAndSwap, changes of configuration", Writes: true, PerSecond: 8 * changes,
			Derivation: "410 changes a day of at most eight values each: parts, head, history"},
		{Kind: "compareAndSwap, ledger", Writes: true, PerSecond: ledgerWrites,
			Derivation: fmt.Sprintf("%d partitions at %.1f calls a second each; never more than ten groups a second and partition", ledger.Partitions, bookingsPerPartition())},
		{Kind: "watch and vms, relays", PerSecond: r.at(KeyStoreReads, relays),
			Derivation: fmt.Sprintf("%d relays that watch the members and the head and read the list of VMs; measured", relays)},
		{Kind: "watch, changes", PerSecond: (changes + moves) * r.at(KeyMarkReads, relays),
			Derivation: "each change ends one watch of every relay"},
		{Kind: "list, documents", PerSecond: changes * r.at(KeyDocReads, float64(Target.Accounts)),
			Derivation: "one relay of the fleet reads each document"},
		{Kind: "list, verdicts on crashed requests", PerSecond: nodes / verdictTime.Seconds(),
			Derivation: fmt.Sprintf("%d nodes, each every %v; from the period, not measured", Target.Nodes, verdictTime)},
		{Kind: "get and list, registrations", PerSecond: 3 * moves / 2,
			Derivation: "each start reads its own record, the members and the head"},
	}
}

// Returns the sums of the store's reads and writes a second.
func (r *Result) storeSums() (reads, writes float64) {
	for _, l := range r.store() {
		if l.Writes {
			writes += l.PerSecond
		} else {
			reads += l.PerSecond
		}
	}
	return reads, writes
}

func seconds(ms float64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
