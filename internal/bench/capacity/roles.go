// This file describes the roles of nodes and the failure scenarios at the target size.

package capacity

import (
	"fmt"

	"ebonyferry/internal/core/ledger"
)

func (r *Result) roles() []Role {
	nodes, accounts := float64(Target.Nodes), float64(Target.Accounts)
	tokens := float64(Target.TokensPerSecond) / nodes
	requests := float64(Target.RequestsPerSecond) / nodes
	streams := float64(streamSizes[len(streamSizes)-1])
	bookings := bookingsPerPartition()
	return []Role{
		{
			Name:      "Entry and relay of streams (every node)",
			State:     fmt.Sprintf("%.0f streams under way, each with its identity, next index and digest", streams),
			Messages:  fmt.Sprintf("%.0f requests and %.0f tokens a second, from the engine and to the caller", requests, tokens),
			Processor: fmt.Sprintf("%.2f cores for the tokens (%.1f µs each), %.2f%% of a core for admission and routing (%.0f µs a request)", r.at(KeyStreamCPU, tokens), 1e6*r.at(KeyStreamCPU, tokens)/tokens, requests*r.at(KeyDecide, streams)/1e4, r.at(KeyDecide, streams)),
			Memory:    fmt.Sprintf("%.0f MB, the emulated engine's and the callers' part included", r.at(KeyStreamMemory, streams)/(1<<20)),
			Mechanism: "internal/edge/caller and internal/core/stream relay; internal/core/admission decides on the node alone",
			Slopes:    []Key{KeyStreamCPU, KeyStreamMemory, KeyDecide, KeyLengths},
		},
		{
			Name:      "Answers to callers who ask for entry addresses (every node)",
			State:     "the view of the fleet and the loads of its failure domain",
			Messages:  "one request for each caller and 5 s of the answer's time to live",
			Processor: fmt.Sprintf("%.0f µs an answer; %.2f%% of a core even if every request asked first", r.at(KeyChoose, nodes), requests*r.at(KeyChoose, nodes)/1e4),
			Memory:    "none of its own",
			Mechanism: "internal/core/entry over the view; loads and nodes that cannot serve come with the relays' answers",
			Slopes:    []Key{KeyChoose},
		},
		{
			Name:      "Member of the fleet (every node)",
			State:     fmt.Sprintf("the list of %d nodes, the head, both documents", Target.Nodes),
			Messages:  fmt.Sprintf("two probes sent and two answered a second, two long polls; %.2f KB/s", r.at(KeyFollowerBytes, nodesPerDomain)/1024),
			Processor: fmt.Sprintf("%.2f%% of a core; %.2f ms for a change of membership in the core, %.1f ms for new documents", 100*r.controlCPU(0), r.at(KeyView, nodes)+r.at(KeyOwners, nodes)+r.at(KeySubsets, nodes), r.at(KeyDocCPU, accounts)),
			Memory:    fmt.Sprintf("%.1f MB, %.1f of them documents and %.1f the length predictor", r.controlMemory()/(1<<20), r.at(KeyDocHeap, accounts)/(1<<20), r.at(KeyLengths, accounts)/(1<<20)),
			Mechanism: "internal/run/fleet and internal/run/intent follow a relay of the failure domain by long polls",
			Slopes:    []Key{KeyFollowerBytes, KeyRestCPU, KeyRestHeap, KeyView, KeyOwners, KeySubsets, KeyDocCPU, KeyDocHeap, KeyAssemble},
		},
		{
			Name:      fmt.Sprintf("Configuration and membership relay (%d of %d nodes)", relays, Target.Nodes),
			State:     fmt.Sprintf("what a member holds, the last 1024 changes, %.1f followers' reports", followersPerRelay),
			Messages:  fmt.Sprintf("two watches of the store, %.1f followers' long polls, a question to each of 9 other relays every 4 s; %.1f KB/s, %.2f of them for 410 changes a day", followersPerRelay, (r.relayRestBytes()+r.relayChangeBytes())/1024, r.relayChangeBytes()/1024),
			Processor: fmt.Sprintf("%.2f%% of a core", 100*r.controlCPU(r.relayRestBytes()+r.relayChangeBytes())),
			Memory:    fmt.Sprintf("%.1f MB, as a member", r.controlMemory()/(1<<20)),
			Mechanism: "three nodes of each failure domain by hash (internal/core/membership); any node takes over when one is lost",
			Slopes:    []Key{KeyRelayBytes, KeyRelayDomains, KeyDeltaFollower, KeyDeltaRelay, KeyFullSync, KeyMarkBytes},
		},
		{
			Name:      "Owner of a backend server",
			State:     fmt.Sprintf("the budgets of %.1f servers a node, each with a slice for each of its 6 users", float64(Target.Servers)/nodes),
			Messages:  fmt.Sprintf("%.0f B for a request of slices and its answer; with the node's part as a user of %d servers %.1f KB/s in rounds of %v, %.1f KB/s in rounds of %v", r.at(KeySliceBytes, 1), serversPerNode, r.sliceBytes(sliceIdleInterval)/1024, sliceIdleInterval, r.sliceBytes(sliceInterval)/1024, sliceInterval),
			Processor: fmt.Sprintf("%.1f µs a round and server; %.2f ms after each of %.0f changes of membership a day", r.at(KeySliceRound, 6), r.at(KeyOwners, nodes)+r.at(KeySubsets, nodes), r.membershipChanges()),
			Memory:    "some hundred bytes a slice, not measured apart from the member's",
			Mechanism: "rendezvous hashing over the view (internal/core/ownership), slices of the budget (internal/core/slice)",
			Slopes:    []Key{KeySliceBytes, KeySliceRound, KeyOwners, KeySubsets},
		},
		{
			Name:      fmt.Sprintf("Owner of a ledger partition (%d of %d nodes at most)", ledger.Partitions, Target.Nodes),
			State:     "the records of an hour, in a head and sealed segments",
			Messages:  fmt.Sprintf("%.1f writes and %.1f KB a second to the store at %.1f calls a second", r.at(KeyLedgerWrites, bookings), r.at(KeyLedgerBytes, bookings)*4/3/1024, bookings),
			Processor: fmt.Sprintf("%.3f%% of a core without the store's client", r.at(KeyLedgerCPU, bookings)/10),
			Memory:    fmt.Sprintf("about %.1f MB: an hour of records of 600 bytes", bookings*3600*600/(1<<20)),
			Mechanism: "group commit of at most ten writes a second and partition (internal/core/ledger)",
			Slopes:    []Key{KeyLedgerWrites, KeyLedgerBytes, KeyLedgerCPU},
		},
		{
			Name:      "Rollout controller (one node for each model that rolls out)",
			State:     "counts and histograms by version, route and load level",
			Messages:  fmt.Sprintf("while a rollout runs, %.1f KB of evidence from each node every %v, summed in groups on the way; a mark of %.1f KB at each node for each step", r.at(KeyEvidenceBytes, 216)/1024, evidenceInterval, r.at(KeyMarkBytes, nodes)/1024),
			Processor: fmt.Sprintf("%.1f ms to merge and judge one period of all nodes, %.2f%% of a core; %.2f ms a step on each node", r.at(KeyEvidenceTime, nodes), r.at(KeyEvidenceTime, nodes)/10/evidenceInterval.Seconds(), r.at(KeyMarkCPU, nodes)),
			Memory:    "the histograms of the versions, some KB; not measured apart",
			Mechanism: "a sequential test (internal/core/rollout); steps are heads, spread like any change (internal/run/intent)",
			Slopes:    []Key{KeyEvidenceBytes, KeyEvidenceTime, KeyMarkCPU, KeyMarkBytes, KeyMarkSpread},
		},
		{
			Name:      "Node that answers ferryctl",
			State:     "none",
			Messages:  fmt.Sprintf("%d relays asked for one report, %.1f KB, %.0f ms", relays, r.at(KeyReportBytes, nodes)/1024, r.at(KeyReportTime, nodes)),
			Processor: "only while an operator asks",
			Memory:    "only while an operator asks",
			Mechanism: "followers report with every poll; relays are asked on demand (internal/run/intent)",
			Slopes:    []Key{KeyReportTime, KeyReportBytes},
		},
	}
}

func (r *Result) scenarios() []Scenario {
	nodes := float64(Target.Nodes)
	near, far := r.at(KeyDetectionInDomain, nodes), r.at(KeyDetectionEverywhere, nodes)
	join := r.at(KeyJoinBytes, nodes)
	day := r.membershipChanges()
	perChange := r.at(KeyJoinCPU, nodes) + r.at(KeyOwners, nodes) + r.at(KeySubsets, nodes)
	return []Scenario{
		{
			Name:         "An ordinary day: 10 VMs fail, 190 are replaced",
			Detection:    fmt.Sprintf("a node that falls silent is left out in its failure domain after %s, everywhere after %s (measured; the bounds are 2.3 s by the probes, and 12 s, when its lease lapses)", seconds(near), seconds(far)),
			Cost:         fmt.Sprintf("%.0f changes of membership of %.1f KB and %.1f ms at each node: %.3f KB/s and %.4f%% of a core over the day; each new node reads the list and both documents once (%.0f KB)", day, join/1024, perChange, day*join/1024/secondsPerDay, day*perChange/10/secondsPerDay, r.at(KeyFullSync, float64(Target.Accounts))/1024),
			CallerImpact: "callers of a failed node resume through another one; new callers get its address for at most these times and 5 s",
		},
		{
			Name:         "A rack or switch: about 10 nodes of one failure domain",
			Detection:    "each lost node is probed by two others; where these are lost too, the next on the ring take over within a second",
			Cost:         fmt.Sprintf("10 changes, in few batches: %.0f KB at each node", 10*join/1024),
			CallerImpact: "as above for a tenth of a region's callers",
		},
		{
			Name:         "A failure domain: 41 nodes",
			Detection:    "no relay of it answers any more; the leases of all its nodes lapse after 12 s",
			Cost:         fmt.Sprintf("41 changes in few batches: %.0f KB at each node", 41*join/1024),
			CallerImpact: "entry answers name farther nodes and other failure domains as well, so that callers have an address at once",
		},
		{
			Name:         "A region cut off: about 110 nodes",
			Detection:    "its nodes lose the store's confirmation for 8 s, are in touch with less than half of the fleet, and take no new work; their leases lapse after 10 s by their own clocks, after 12 s by the store's",
			Cost:         fmt.Sprintf("110 changes at the cut and 110 at the return: %.0f KB at each node each time; 330 writes at the return", 110*join/1024),
			CallerImpact: "the rest goes on; callers inside the region are refused as not run until it returns, since nobody there can know what operators took out",
		},
		{
			Name:         "The store is down for all",
			Detection:    "relays ask the other failure domains every 2.5 s and find most of the fleet in touch without the store",
			Cost:         "seven questions of about 0.4 KB for each relay and round; after 10 s no node holds a lease, so no partition of the ledger is written; owners of servers go on for an hour and free only what holders gave back",
			CallerImpact: "streams go on; calls that may not be repeated are refused as not run; at the return 330 nodes register within about two seconds, at 990 writes in all, spread over a second at least and tried again when refused for the rate",
		},
	}
}
