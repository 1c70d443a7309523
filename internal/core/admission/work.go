// Package admission decides which generations run, when and on which backend server.
//
// A Scheduler is the decision of one node for all its generations. It takes work, tokens, outcomes, load
// reports and cache events, each with a time, and decides tickets: granted on a server or refused. It puts
// together the decisions of its sister packages: predicted lengths (length), promised memory (commit), warm-up
// (warmup), choice of the server (routing), retries (retry) and requests that crash servers (quarantine).
//
// Work that has no room waits in a queue per model. Classes are served by earliest start, with a head start
// for urgent ones; within a class the client account that was served the fewest tokens lately goes first (the Virtual
// Token Counter of Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024, with a memory that
// fades). Work whose first
// token cannot come in time is refused early.
package admission

import (
	"time"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/commit"
	"ebonyferry/internal/core/length"
	"ebonyferry/internal/core/routing"
)

// Class orders work by urgency.
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

// Work describes one generation that wants a place.
type Work struct {
	Account      string
	Class        Class
	Model        string
	PromptTokens int
	Prefixes     []routing.Prefix // of the prompt, shortest first
	MaxTokens    int              // bound on the output; zero when none
	KnownTokens  int              // exact output length in tokens; zero when unknown
	Deadline     time.Time        // by when the first token is wanted; zero means the class's default
	Fingerprint  uint64
	Exclude      []string   // servers not to be used
	Attempt      int        // 0 for the first
	Progress     func() int // tokens generated so far; called by the owner of the Scheduler
}

// Reason is why work was refused.
type Reason string

// The reasons of refusals.
const (
	Overloaded   Reason = "overloaded"    // what is asked cannot begin in time
	NoServer     Reason = "noServer"      // no server in service can run it
	AccountLimit Reason = "accountLimit"  // a limit of the client account
	InQuarantine Reason = "quarantined"   // the request has crashed servers
	UnknownModel Reason = "modelNotFound" // the configuration has no such model
	RetryBudget  Reason = "retryBudget"   // too many retries already
	NotReady     Reason = "notReady"      // no configuration yet
)

// Refusal says why and when to ask again.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // zero when asking again does not help
}

// Outcome is how a granted place was used.
type Outcome int

// The outcomes of a place.
const (
	Finished    Outcome = iota // whole answer
	Canceled                   // the caller left
	NotRun                     // the server surely did not start it
	Rejected                   // the server refused for lack of room
	Failed                     // the server answered with an error
	Interrupted                // the server went away with the generation on it
)

type ticketState int

const (
	waiting ticketState = iota
	running
	refused
	ended
)

// Ticket is one piece of work on its way through the Scheduler. Its exported fields are set when it is decided
// and do not change after.
type Ticket struct {
	Work    Work
	Server  string   // granted server
	Version string   // granted version
	Refusal *Refusal // nil when granted

	state     ticketState
	arrivedAt time.Time
	latest    time.Time // when it must start at the latest
	grantedAt time.Time
	firstAt   time.Time // of the first token; zero before
	version   string    // wanted version
	account   *account
	pool      *pool // that it runs in
	series    *length.Series
	suspect   bool
	charged   float64 // tokens charged to the account
	load      commit.Profile
}

// Waited returns how long the ticket waited for its grant.
func (t *Ticket) Waited() time.Duration { return t.grantedAt.Sub(t.arrivedAt) }

func (t *Ticket) generated() int {
	if t.Work.Progress == nil || t.state != running {
		return 0
	}
	return t.Work.Progress()
}

// Profile returns the memory that the ticket takes from now on.
func (t *Ticket) profile() commit.Profile {
	given := t.generated()
	held := t.Work.PromptTokens + given
	if t.Work.KnownTokens > 0 {
		return commit.NewKnown(held, max(0, t.Work.KnownTokens-given))
	}
	return commit.NewStream(held, given, t.Work.MaxTokens, t.series.Dist())
}

// Budgets says how much of a server this node may use now.
type Budgets interface {
	// Budget returns streams and tokens of memory. Tokens of zero beside streams above zero mean no bound.
	Budget(server string, now time.Time) (streams, tokens int)
}

// SharedLimits is what Budgets implement that are parts of a limit shared by several nodes, which the server's
// owner raises and lowers as the nodes suggest.
type SharedLimits interface {
	// Limit returns the streams that all nodes together may run on the server now, or zero when unknown.
	Limit(server string, now time.Time) int
}

// Demand is what a node uses of a server and would like to use.
type Demand struct {
	Streams int // running
	Tokens  int // predicted peak of those running
	Waiting int // queued work that the server could run
	// WaitingTokens is the memory that the queued work is predicted to take.
	WaitingTokens int
	// Limit is the number of streams that the node's evidence suggests for all nodes together; zero for the
	// present one.
	Limit int
}

// StaticBudgets gives this node an equal part of each server.
type StaticBudgets struct {
	servers map[string]bundle.Server
	nodes   int
	rank    int
}

// NewStaticBudgets returns budgets of the node with the given rank (from 0) among nodes.
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
	return part(srv.MaxStreams, s.nodes, s.rank), part(srv.MemoryTokens, s.nodes, s.rank)
}

// Part returns the whole-numbered part of total that goes to one of n; the parts of all sum to total.
func part(total, n, rank int) int {
	return (total + n - 1 - rank) / n
}
