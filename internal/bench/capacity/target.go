// This file defines the target size and its budgets.

package capacity

import "time"

// Size is the size of a deployment.
type Size struct {
	Nodes             int
	Domains           int
	Regions           int
	Servers           int
	Accounts          int
	Models            int
	RequestsPerSecond int
	TokensPerSecond   int
	ChangesPerDay     int
	FailuresPerDay    int // VMs
	ReplacedPerDay    int // VMs
}

// Target is the size that the system must support in about two years.
var Target = Size{
	Nodes: 330, Domains: 8, Regions: 3, Servers: 600, Accounts: 4900, Models: 3,
	RequestsPerSecond: 12000, TokensPerSecond: 2500000,
	ChangesPerDay: 410, FailuresPerDay: 10, ReplacedPerDay: 190,
}

// The budgets that the target sets for membership, configuration, slices and the store.
const (
	budgetCPU      = 0.014    // cores of a node
	budgetMemory   = 32 << 20 // bytes of a node
	budgetBytes    = 8 << 10  // bytes per second of a node
	budgetChange   = 12 * time.Second
	budgetWrites   = 500  // per second, at the store
	budgetReads    = 2000 // per second, at the store
	secondsPerDay  = 24 * 60 * 60
	nodesPerDomain = 41.25 // Target.Nodes over Target.Domains
)
