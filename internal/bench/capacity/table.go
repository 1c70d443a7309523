// This file computes the figures at the target size from the slopes.

package capacity

import (
	"fmt"
	"time"

	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/core/rollout"
	"ebonyferry/internal/run/fleet"
)

// Table holds the figures that the slopes give at the target size.
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
	Slopes    []Key  `json:"slopes"` // from which the figures are computed
}

// Budget compares a figure with its limit.
type Budget struct {
	Name       string  `json:"name"`
	Figure     float64 `json:"figure"`
	Spread     float64 `json:"spread"` // of the underlying measurements
	Allowed    float64 `json:"allowed"`
	Unit       string  `json:"unit"`
	Derivation string  `json:"sum"` // of Figure
	Remedy     string  `json:"remedy"`
}

// Fits reports whether the figure is within its limit.
func (b Budget) Fits() bool { return b.Figure <= b.Allowed }

// StoreCalls is the rate of one kind of calls of the platform's store.
type StoreCalls struct {
	Kind       string  `json:"kind"`
	PerSecond  float64 `json:"perSecond"`
	Derivation string  `json:"sum"`
	Writes     bool    `json:"writes"`
}

// Scenario is an ordinary day or a failure, with its cost.
type Scenario struct {
	Name         string `json:"name"`
	Detection    string `json:"how"`     // how and when nodes detect it
	Cost         string `json:"cost"`    // in messages and processor time
	CallerImpact string `json:"service"` // effect on callers
}

// relays is the number of nodes that watch the store at the target size.
const relays = membership.RelaysPerDomain * 8

// followersPerRelay is how many nodes follow one relay at the target size.
var followersPerRelay = float64(Target.Nodes-relays) / relays

// bookingsShare is the assumed share of requests that are calls that may not be repeated. The target does not specify
// it.
const bookingsShare = 0.002

// at returns the figure of a slope at a size.
func (r *Result) at(key Key, size float64) float64 { return r.Slopes[key].At(size) }

// relayRestBytes returns the bytes per second of a relay at rest at the target size, from the slope by nodes of a
// failure domain and the increase for each further failure domain.
func (r *Result) relayRestBytes() float64 {
	further := float64(Target.Domains - shapesByPerDomain[0].Domains)
	return r.at(KeyRelayBytes, nodesPerDomain) + further*max(0, r.Slopes[KeyRelayDomains].Slope)
}

// relayChangeBytes returns the bytes per second of a relay for changes of configuration that each replace one server and
// one account: the differences that it sends to its followers, and its share of the reads from the store.
func (r *Result) relayChangeBytes() float64 {
	changes := float64(Target.ChangesPerDay) / secondsPerDay
	accounts := float64(Target.Accounts)
	mark := r.at(KeyMarkBytes, float64(Target.Nodes))
	difference := r.at(KeyDeltaFollower, accounts)
	const base64Overhead = 4.0 / 3 // the parts in the store are encoded twice
	read := r.at(KeyFullSync, accounts) * base64Overhead * base64Overhead * 2 / relays
	return changes * (mark + difference*(1+followersPerRelay) + read)
}

// controlCPU returns the processor time of membership and configuration on a node, in cores: the time at rest, and that
// of the changes of a day. It counts each change of configuration as a change of documents. The time at rest of a relay
// is proportional to bytes, its traffic per second; other nodes pass 0.
func (r *Result) controlCPU(bytes float64) float64 {
	nodes, accounts := float64(Target.Nodes), float64(Target.Accounts)
	rest := r.at(KeyRestCPU, nodes) * max(1, bytes/r.at(KeyFollowerBytes, nodesPerDomain))
	changes := float64(Target.ChangesPerDay) * (r.at(KeyDocCPU, accounts) + r.at(KeyMarkCPU, nodes))
	moves := r.membershipChanges() * (r.at(KeyJoinCPU, nodes) + r.at(KeyOwners, nodes) + r.at(KeySubsets, nodes) + r.at(KeyView, nodes))
	return rest + (changes+moves)/1000/secondsPerDay
}

// membershipChanges returns the number of changes of membership per day. Each VM that fails or is replaced leaves and
// joins.
func (r *Result) membershipChanges() float64 {
	return 2 * float64(Target.FailuresPerDay+Target.ReplacedPerDay)
}

// controlMemory returns the memory of membership, configuration and the length predictor on a node, in bytes.
func (r *Result) controlMemory() float64 {
	return r.at(KeyRestHeap, float64(Target.Nodes)) + r.at(KeyDocHeap, float64(Target.Accounts)) + r.at(KeyLengths, float64(Target.Accounts))
}

// sliceBytes returns the bytes per second of requests for slices at a node, as holder and as owner, if each server that
// it uses has a different owner.
func (r *Result) sliceBytes(round time.Duration) float64 {
	return 2 * serversPerNode * r.at(KeySliceBytes, 1) / round.Seconds()
}

// The intervals at which a holder requests its slices, while demand changes and while it does not.
const (
	sliceInterval     = time.Second
	sliceIdleInterval = 4 * time.Second
)

// verdictInterval is the interval at which a node reads the verdicts on requests that crash servers.
const verdictInterval = 30 * time.Second

// evidenceInterval is the interval of evidence reports during a rollout at the target size.
const evidenceInterval = 2 * rollout.Period

// bookingsPerPartition returns the calls per second in one ledger partition, given bookingsShare.
func bookingsPerPartition() float64 {
	return float64(Target.RequestsPerSecond) * bookingsShare / ledger.Partitions
}

// buildTable computes the table from the slopes.
func (r *Result) buildTable() Table {
	return Table{Roles: r.roles(), Budgets: r.budgets(), Store: r.storeCalls(), Scenarios: r.scenarios()}
}

func (r *Result) budgets() []Budget {
	nodes, accounts := float64(Target.Nodes), float64(Target.Accounts)
	relayBytes := r.relayRestBytes() + r.relayChangeBytes()
	follower := r.at(KeyFollowerBytes, nodesPerDomain) + float64(Target.ChangesPerDay)/secondsPerDay*r.at(KeyDeltaFollower, accounts)
	worst := float64(Target.ChangesPerDay) / secondsPerDay * r.at(KeyFullSync, accounts) * (1 + followersPerRelay)
	ledgerBytes := r.at(KeyLedgerBytes, bookingsPerPartition()) * 4 / 3
	reads, writes := r.storeRates()
	return []Budget{
		{Name: "processor time of control, a relay", Figure: 100 * r.controlCPU(relayBytes), Spread: 100 * r.Slopes[KeyRestCPU].Spread, Allowed: 100 * budgetCPU, Unit: "% of a core",
			Derivation: "at rest in proportion to its bytes, and every change of the day"},
		{Name: "processor time of control, another node", Figure: 100 * r.controlCPU(0), Spread: 100 * r.Slopes[KeyRestCPU].Spread, Allowed: 100 * budgetCPU, Unit: "% of a core",
			Derivation: "at rest, and every change of the day"},
		{Name: "memory of control", Figure: r.controlMemory() / (1 << 20), Spread: r.Slopes[KeyDocHeap].Spread / (1 << 20), Allowed: float64(budgetMemory) / (1 << 20), Unit: "MB",
			Derivation: "membership and clients, documents in force and kept, length predictor"},
		{Name: "bytes of control, a relay", Figure: relayBytes / 1024, Spread: r.Slopes[KeyRelayBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: fmt.Sprintf("%.1f at rest with %.1f followers, and %.2f for changes of one server and one account", r.relayRestBytes()/1024, followersPerRelay, r.relayChangeBytes()/1024)},
		{Name: "bytes of control, another node", Figure: follower / 1024, Spread: r.Slopes[KeyFollowerBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: "at rest, and changes of one server and one account"},
		{Name: "bytes of slices, while demand moves at every server", Figure: r.sliceBytes(sliceInterval) / 1024, Spread: 2 * serversPerNode * r.Slopes[KeySliceBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: fmt.Sprintf("%d servers a node, each with an owner of its own, asked every %v, and as many answered", serversPerNode, sliceInterval),
			Remedy:     "owners would be chosen by group of servers with the same users, so that one message carries several servers; or rounds of 3 s"},
		{Name: "bytes of slices, while demand is steady", Figure: r.sliceBytes(sliceIdleInterval) / 1024, Spread: 2 * serversPerNode * r.Slopes[KeySliceBytes].Spread / sliceIdleInterval.Seconds() / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: fmt.Sprintf("the same every %v", sliceIdleInterval)},
		{Name: "bytes of control of a relay with its slices, while demand is steady", Figure: (relayBytes + r.sliceBytes(sliceIdleInterval)) / 1024, Spread: r.Slopes[KeyRelayBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: "sum of the two lines above",
			Remedy:     "as for slices; or relays would own and use fewer servers"},
		{Name: "bytes of control of another node with its slices, while demand is steady", Figure: (follower + r.sliceBytes(sliceIdleInterval)) / 1024, Spread: r.Slopes[KeyFollowerBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
			Derivation: "sum of the lines above"},
		{Name: "bytes of a relay if every change replaced both documents whole", Figure: (r.relayRestBytes() + worst) / 1024, Spread: r.Slopes[KeyRelayBytes].Spread / 1024, Allowed: budgetBytes / 1024, Unit: "KB/s",
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

func (r *Result) storeCalls() []StoreCalls {
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
		{Kind: "list, verdicts on crashed requests", PerSecond: nodes / verdictInterval.Seconds(),
			Derivation: fmt.Sprintf("%d nodes, each every %v; from the period, not measured", Target.Nodes, verdictInterval)},
		{Kind: "get and list, registrations", PerSecond: 3 * moves / 2,
			Derivation: "each start reads its own record, the members and the head"},
	}
}

// storeRates returns the total reads and writes of the store per second.
func (r *Result) storeRates() (reads, writes float64) {
	for _, l := range r.storeCalls() {
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
