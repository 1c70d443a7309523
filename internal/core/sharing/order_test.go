package sharing

import (
	"errors"
	"math"
	"testing"
	"time"
)

var t0 = time.Unix(1000, 0)

func waiter(urgency int, account string, ago time.Duration) Waiter {
	return Waiter{Urgency: urgency, Account: account, Class: "r", Tokens: 3000, Run: 10 * time.Second, Arrived: t0.Add(-ago), StartBy: t0.Add(time.Second)}
}

func stateOf(own, elsewhere Demand) *State {
	return &State{Now: t0, Domain: "d", Own: own, Elsewhere: elsewhere, Weight: func(string) float64 { return 1 }, Weighted: true}
}

func received(accounts map[string]float64) Demand {
	d := Demand{Accounts: make(map[string]Account)}
	for name, amount := range accounts {
		d.Accounts[name] = Account{Received: amount}
	}
	return d
}

// Guards against an order that ignores one of its keys or applies them in another sequence.
func TestOrder(t *testing.T) {
	late := waiter(0, "a", time.Second)
	late.StartBy = t0.Add(-time.Millisecond)
	large, small := waiter(0, "a", 2*time.Millisecond), waiter(0, "a", time.Millisecond)
	large.Size, small.Size = 3, 0.2
	returning := waiter(0, "a", 0)
	returning.Returning = true
	both := received(map[string]float64{"a": 50_000, "b": 40_000})
	tests := []struct {
		name    string
		waiting []Waiter
		own     Demand
		want    int // index of the first
	}{
		{"urgency before arrival", []Waiter{waiter(1, "a", time.Second), waiter(0, "b", 0)}, Demand{}, 1},
		{"memory-time before arrival", []Waiter{waiter(0, "a", time.Second), waiter(0, "b", 0)}, both, 1},
		{"one that can meet its target before one that cannot", []Waiter{late, waiter(0, "a", 0)}, Demand{}, 1},
		{"small before large", []Waiter{large, small}, Demand{}, 1},
		{"returning before new", []Waiter{waiter(0, "a", time.Second), returning}, Demand{}, 1},
		{"arrival", []Waiter{waiter(0, "a", 0), waiter(0, "b", time.Second)}, Demand{}, 1},
	}
	for _, tt := range tests {
		if got := Order(tt.waiting, stateOf(tt.own, Demand{}))[0].Index; got != tt.want {
			t.Errorf("%s: got request %d first, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against a class, an account or a failure domain that the others starve.
func TestFloorGoesFirst(t *testing.T) {
	own := received(map[string]float64{"a": 100_000, "b": 90_000, "c": 10_000})
	own.Classes = map[string]float64{"r": 100_000, "rare": 1000}
	rare := waiter(0, "a", 0)
	rare.Class = "rare"
	waiting := []Waiter{waiter(0, "b", time.Second), rare, waiter(0, "c", 0)}
	order := Order(waiting, stateOf(own, Demand{}))
	if got := []bool{order[0].Protected, order[1].Protected, order[2].Protected}; !got[0] || !got[1] || got[2] {
		t.Errorf("protected: got %v, want the account and the class that received little", got)
	}
	own.Domains = map[string]float64{"d": 1000, "e": 100_000}
	if order := Order(waiting[:1], stateOf(own, Demand{})); !order[0].Protected {
		t.Error("request of a failure domain that received little: got no protection")
	}
}

// Guards against less urgent requests that starve while urgent ones wait without interruption, and against a credit that
// gives them more than their part.
func TestLessUrgentRequestsGetAPart(t *testing.T) {
	own := Demand{Urgencies: map[int]Flow{0: {Waiting: 50_000, Granted: 100_000}, 1: {Waiting: 6000}}}
	s := stateOf(own, Demand{Urgencies: map[int]Flow{1: {Waiting: 6000}}})
	var c Credit
	c.Advance(s, 1)
	taken := 0
	for range 100 {
		s.Now = s.Now.Add(100 * time.Millisecond)
		if c.Advance(s, 1) >= 3000 {
			c.Take(3000)
			taken += 3000
		}
	}
	// Half of the waiting memory is at this node, and 10 s pass.
	if got, want := taken, int(lessUrgentShare*100_000*10/2); got < want-3000 || got > want {
		t.Errorf("got %d tokens, want at most %d, less one run", got, want)
	}
}

// Guards against a malformed digest or weight that changes what nodes decide.
func TestMalformedDemand(t *testing.T) {
	tests := map[string]Demand{
		"negative tokens":      {Urgencies: map[int]Flow{0: {Waiting: -1}}},
		"negative urgency":     {Urgencies: map[int]Flow{-1: {}}},
		"negative memory-time": {Accounts: map[string]Account{"a": {Received: -1}}},
		"waits for less":       {Accounts: map[string]Account{"a": {Waiting: map[int]int{0: -5}}}},
		"class":                {Classes: map[string]float64{"r": math.Inf(1)}},
		"domain":               {Domains: map[string]float64{"d": -1}},
	}
	for name, d := range tests {
		if err := d.Check(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v, want %v", name, err, ErrMalformed)
		}
	}
	for _, weight := range []float64{0, -2, math.NaN(), math.Inf(1)} {
		if got := WeightOf(weight); got != 1 {
			t.Errorf("weight %v: got %v, want 1", weight, got)
		}
	}
}

// Guards against digests that grow with the number of accounts.
func TestDemandListsTheLargestAccounts(t *testing.T) {
	d, sum := Demand{Accounts: make(map[string]Account)}, 0.0
	for i := range 100 {
		d.Accounts[string(rune('A'+i))] = Account{Received: float64(i), Waiting: map[int]int{0: 1}}
		sum += float64(i)
	}
	d.Trim()
	got, waiting := 0.0, 0
	for _, a := range d.Accounts {
		got += a.Received
		waiting += a.Waiting[0]
	}
	if len(d.Accounts) != MaxAccounts+1 || got != sum || waiting != 100 {
		t.Errorf("got %d accounts with %v token-seconds and %d waiting, want %d, %v and 100", len(d.Accounts), got, waiting, MaxAccounts+1, sum)
	}
}

// Guards against a reserve that is a constant share of the memory, or that remains when no urgent request arrives.
func TestReserveFollowsUrgentArrivals(t *testing.T) {
	flow := func(perSecond float64, running int) Demand {
		return Demand{Urgencies: map[int]Flow{0: {Granted: int(2200 * perSecond), Starts: perSecond, Held: int(2200 * perSecond), Running: running}}}
	}
	if got := Reserve(flow(0, 0), 1); got != 0 {
		t.Errorf("no urgent arrivals: got %d, want 0", got)
	}
	few, many := Reserve(flow(5, 5500), 1), Reserve(flow(50, 55_000), 1)
	if few <= 0 || many < 5*few {
		t.Errorf("5 and 50 arrivals a second: got %d and %d, want the reserve to follow", few, many)
	}
	if got, most := Reserve(flow(500, 10_000), 1), 70_000; got > most {
		t.Errorf("runs predicted far too long: got %d, want at most %d", got, most)
	}
	if got := Reserve(flow(50, 0), 0); got != 0 {
		t.Errorf("for the most urgent requests: got %d, want 0", got)
	}
	if got := Reserve(flow(50, 110_000), 1); got >= many/2 {
		t.Errorf("with as many runs as expected: got %d, want less than half of %d", got, many)
	}
}

// Guards against refusals without a known rate, of requests that come first, and against none where the turn is far off.
func TestPredict(t *testing.T) {
	waiting := []Waiter{waiter(0, "a", 0)}
	if turn := Predict(waiting, 0, stateOf(Demand{}, Demand{})); turn.ClearlyAfter(0) {
		t.Errorf("unknown rate: got %+v", turn)
	}
	own := Demand{Urgencies: map[int]Flow{0: {Granted: 10_000}}}
	if turn := Predict(waiting, 0, stateOf(own, Demand{})); turn.After != 0 {
		t.Errorf("nothing before: got %+v", turn)
	}
	elsewhere := Demand{Accounts: map[string]Account{"a": {Waiting: map[int]int{0: 50_000}}}}
	turn := Predict(waiting, 0, stateOf(own, elsewhere))
	if turn.After != 5*time.Second || !turn.ClearlyAfter(2*time.Second) || turn.ClearlyAfter(4*time.Second) {
		t.Errorf("50,000 tokens before at 10,000 a second: got %+v", turn)
	}
}
