// Package admission decides which generations run, when and on which backend server.
//
// A Scheduler makes these decisions for the generations of one node. It receives work, tokens, outcomes, load reports
// and cache events, each with a time, and decides tickets: it grants a ticket on a server or refuses it. It combines
// predicted lengths (package length), committed memory (commit), warm-up (warmup), the choice of a server (routing),
// retries (retry) and the detection of requests that crash servers (quarantine).
//
// Work that finds no capacity waits in a queue per model. Classes are served in order of arrival, with a head start for
// urgent ones. Within a class the client account that was served the fewest tokens recently goes first. This is the
// Virtual Token Counter of Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024, with decay. Work whose
// first token cannot come in time is refused early.
package admission

import (
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/commit"
	"ebonyferry/internal/core/length"
	"ebonyferry/internal/core/routing"
)

// Class is the urgency of work.
type Class int

// The classes of work, most urgent first.
const (
	Quick Class = iota
	Narrative
	Batch
	classes
)

// String returns the name of the class in settings, metrics and length histograms.
func (c Class) String() string { return [...]string{"quick", "narrative", "batch"}[c] }

// Work describes one generation to be scheduled.
type Work struct {
	Account      string
	Class        Class
	Model        string
	PromptTokens int
	Prefixes     []routing.Prefix // of the prompt, shortest first
	MaxTokens    int              // limit on the output; zero means none
	KnownTokens  int              // exact output length in tokens; zero when unknown
	Deadline     time.Time        // for the first token; zero means the default of the class
	Fingerprint  uint64           // identifies the request in quarantine
	Exclude      []string         // servers that must not be used
	Attempt      int              // 0 for the first
	Progress     func() int       // tokens generated so far; called by methods of the Scheduler
}

// Reason is why work was refused.
type Reason string

// The reasons of refusals.
const (
	Overloaded   Reason = "overloaded"    // the first token cannot come in time
	NoServer     Reason = "noServer"      // no server in service can run it
	AccountLimit Reason = "accountLimit"  // a limit of the client account is reached
	InQuarantine Reason = "quarantined"   // the request has crashed servers
	UnknownModel Reason = "modelNotFound" // the configuration has no such model
	RetryBudget  Reason = "retryBudget"   // the node or the account has used up its retries
	NotReady     Reason = "notReady"      // no configuration yet
)

// Refusal states why work was refused and when to retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // zero when a retry does not help
}

// Outcome is how a granted ticket ended.
type Outcome int

// The outcomes of a granted ticket.
const (
	Finished    Outcome = iota // the answer is complete
	Canceled                   // the caller left
	NotRun                     // the server certainly did not start it
	Rejected                   // the server rejected it for lack of capacity
	Failed                     // the server answered with an error
	Interrupted                // the server failed or was lost during the generation
)

type ticketState int

const (
	waiting ticketState = iota
	running
	refused
	ended
)

// Ticket follows one piece of work through the Scheduler. Its exported fields do not change after it is decided.
type Ticket struct {
	Work    Work
	Server  string   // granted server
	Version string   // granted version
	Refusal *Refusal // nil when granted

	state       ticketState
	arrivedAt   time.Time
	latestStart time.Time // latest grant that meets the deadline
	grantedAt   time.Time
	firstAt     time.Time // of the first token; zero before
	version     string    // preferred version
	account     *account
	pool        *pool // in which it runs
	series      *length.Series
	suspect     bool
	charged     float64        // tokens charged to the account in advance
	load        commit.Profile // predicted memory
}

// Waited returns how long the ticket waited for its grant.
func (t *Ticket) Waited() time.Duration { return t.grantedAt.Sub(t.arrivedAt) }

func (t *Ticket) generated() int {
	if t.Work.Progress == nil || t.state != running {
		return 0
	}
	return t.Work.Progress()
}

// profile returns the memory that the ticket is predicted to take from now on.
func (t *Ticket) profile() commit.Profile {
	generated := t.generated()
	held := t.Work.PromptTokens + generated
	if t.Work.KnownTokens > 0 {
		return commit.NewKnownProfile(held, max(0, t.Work.KnownTokens-generated))
	}
	return commit.NewProfile(held, generated, t.Work.MaxTokens, t.series.Dist())
}

// Budgets reports how much of each server this node may use.
type Budgets interface {
	// Budget returns the budget in streams and in tokens of memory. Zero tokens with streams above zero mean that memory
	// is not limited.
	Budget(server string, now time.Time) (streams, tokens int)
}

// SharedLimits is implemented by Budgets that are slices of limits shared by several nodes. The owner of a server's
// limit raises and lowers it as the nodes suggest.
type SharedLimits interface {
	// Limit returns the streams that all nodes together may run on the server now, or zero when unknown.
	Limit(server string, now time.Time) int
}

// Demand is what a node uses of a server and what more it wants.
type Demand struct {
	Streams int // running
	Tokens  int // predicted peak of those running
	Waiting int // queued work that the server could run
	// WaitingTokens is the memory that the queued work is predicted to take.
	WaitingTokens int
	// Limit is the number of streams that the node's evidence suggests for all nodes together. Zero suggests no change.
	Limit int
}

// StaticBudgets gives this node an equal share of each server.
type StaticBudgets struct {
	servers map[string]bundle.Server
	nodes   int
	rank    int
}

// NewStaticBudgets returns the budgets of the node with the given rank, from 0, among nodes.
func NewStaticBudgets(servers []bundle.Server, nodes, rank int) *StaticBudgets {
	s := &StaticBudgets{servers: make(map[string]bundle.Server, len(servers)), nodes: max(1, nodes), rank: rank}
	for _, srv := range servers {
		s.servers[srv.ID] = srv
	}
	return s
}

// Budget implements Budgets.
func (s *StaticBudgets) Budget(server string, _ time.Time) (streams, tokens int) {
	srv := s.servers[server]
	return equalShare(srv.MaxStreams, s.nodes, s.rank), equalShare(srv.MemoryTokens, s.nodes, s.rank)
}

// equalShare returns the share of total for the node of a rank among n. The shares of all nodes sum to total.
func equalShare(total, n, rank int) int {
	return (total + n - 1 - rank) / n
}
