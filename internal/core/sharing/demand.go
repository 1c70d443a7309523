package sharing

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// MaxAccounts is the number of accounts that a Demand lists. The others are one sum, OtherAccounts.
const MaxAccounts = 32

// OtherAccounts stands for the accounts that a Demand does not list.
const OtherAccounts = "*"

// maxUrgencies bounds the urgencies in a Demand.
const maxUrgencies = 16

// Demand is what one node, or several, know of the demand for the memory of a service's engines. Its JSON form is a
// digest that nodes exchange.
type Demand struct {
	Urgencies map[int]Flow       `json:"u,omitempty"` // by urgency; 0 is the most urgent
	Accounts  map[string]Account `json:"a,omitempty"`
	Classes   map[string]float64 `json:"c,omitempty"` // token-seconds received, by route
	Domains   map[string]float64 `json:"d,omitempty"` // token-seconds received, by failure domain of the callers
}

// Flow is the demand of one urgency.
type Flow struct {
	Waiting  int     `json:"w,omitempty"` // tokens that requests wait for, and tokens promised to callers that return now
	Requests int     `json:"n,omitempty"` // waiting requests
	Granted  int     `json:"g,omitempty"` // tokens granted per second, recently
	Starts   float64 `json:"s,omitempty"` // requests granted per second, recently
	Held     int     `json:"h,omitempty"` // token-seconds granted per second: what the runs hold if grants go on like this
	Running  int     `json:"r,omitempty"` // tokens of the runs
}

// Account is the demand of one client account.
type Account struct {
	Received float64     `json:"m,omitempty"` // token-seconds, decayed
	Waiting  map[int]int `json:"w,omitempty"` // tokens by urgency
}

// ErrMalformed means that a Demand holds values that no node has.
var ErrMalformed = errors.New("malformed demand")

// Check returns an error if a value is negative, not finite, or if there are too many.
func (d Demand) Check() error {
	if len(d.Urgencies) > maxUrgencies || len(d.Accounts) > 2*MaxAccounts {
		return fmt.Errorf("%w: %d urgencies and %d accounts", ErrMalformed, len(d.Urgencies), len(d.Accounts))
	}
	for u, f := range d.Urgencies {
		if u < 0 || min(f.Waiting, f.Requests, f.Granted, f.Held, f.Running) < 0 || bad(f.Starts) {
			return fmt.Errorf("%w: urgency %d: %+v", ErrMalformed, u, f)
		}
	}
	for name, a := range d.Accounts {
		if bad(a.Received) || len(a.Waiting) > maxUrgencies {
			return fmt.Errorf("%w: account %q: %+v", ErrMalformed, name, a)
		}
		for u, tokens := range a.Waiting {
			if u < 0 || tokens < 0 {
				return fmt.Errorf("%w: account %q waits for %d tokens of urgency %d", ErrMalformed, name, tokens, u)
			}
		}
	}
	for _, amounts := range []map[string]float64{d.Classes, d.Domains} {
		for key, amount := range amounts {
			if bad(amount) {
				return fmt.Errorf("%w: %q received %v", ErrMalformed, key, amount)
			}
		}
	}
	return nil
}

func bad(amount float64) bool { return amount < 0 || math.IsNaN(amount) || math.IsInf(amount, 0) }

// Add adds another demand, of which the received memory-time is as old as age.
func (d *Demand) Add(o Demand, age time.Duration) {
	if d.Urgencies == nil {
		*d = Demand{Urgencies: make(map[int]Flow), Accounts: make(map[string]Account), Classes: make(map[string]float64), Domains: make(map[string]float64)}
	}
	left := decay(age)
	for u, f := range o.Urgencies {
		s := d.Urgencies[u]
		d.Urgencies[u] = Flow{
			Waiting: s.Waiting + f.Waiting, Requests: s.Requests + f.Requests, Granted: s.Granted + f.Granted,
			Starts: s.Starts + f.Starts, Held: s.Held + f.Held, Running: s.Running + f.Running,
		}
	}
	for name, a := range o.Accounts {
		s := d.Accounts[name]
		s.Received += left * a.Received
		if len(a.Waiting) > 0 {
			s.Waiting = maps.Clone(s.Waiting)
			if s.Waiting == nil {
				s.Waiting = make(map[int]int, len(a.Waiting))
			}
			for u, tokens := range a.Waiting {
				s.Waiting[u] += tokens
			}
		}
		d.Accounts[name] = s
	}
	for key, amount := range o.Classes {
		d.Classes[key] += left * amount
	}
	for key, amount := range o.Domains {
		d.Domains[key] += left * amount
	}
}

// AddWaiting adds tokens that a number of requests of an account wait for.
func (d *Demand) AddWaiting(urgency int, account string, requests, tokens int) {
	f := d.Urgencies[urgency]
	f.Waiting += tokens
	f.Requests += requests
	d.Urgencies[urgency] = f
	a := d.Accounts[account]
	if a.Waiting == nil {
		a.Waiting = make(map[int]int)
	}
	a.Waiting[urgency] += tokens
	d.Accounts[account] = a
}

// Round drops fractions of token-seconds, which make digests long.
func (d *Demand) Round() {
	for name, a := range d.Accounts {
		a.Received = math.Round(a.Received)
		d.Accounts[name] = a
	}
	for _, amounts := range []map[string]float64{d.Classes, d.Domains} {
		for key, amount := range amounts {
			amounts[key] = math.Round(amount)
		}
	}
	for u, f := range d.Urgencies {
		f.Starts = math.Round(100*f.Starts) / 100
		d.Urgencies[u] = f
	}
}

// Trim leaves the MaxAccounts accounts that received the most, and sums the others.
func (d *Demand) Trim() {
	if len(d.Accounts) <= MaxAccounts {
		return
	}
	names := slices.SortedFunc(maps.Keys(d.Accounts), func(a, b string) int {
		return cmp.Or(cmp.Compare(d.Accounts[b].Received, d.Accounts[a].Received), cmp.Compare(a, b))
	})
	kept := make(map[string]Account, MaxAccounts+1)
	var rest Demand
	for _, name := range names {
		if name != OtherAccounts && len(kept) < MaxAccounts {
			kept[name] = d.Accounts[name]
			continue
		}
		rest.Add(Demand{Accounts: map[string]Account{OtherAccounts: d.Accounts[name]}}, 0)
	}
	kept[OtherAccounts] = rest.Accounts[OtherAccounts]
	d.Accounts = kept
}

// MoreUrgent returns the tokens waiting that are more urgent than urgency.
func (d Demand) MoreUrgent(urgency int) int {
	tokens := 0
	for u, f := range d.Urgencies {
		if u < urgency {
			tokens += f.Waiting
		}
	}
	return tokens
}

// GrantedRate returns the tokens granted per second to an urgency or a less urgent one.
func (d Demand) GrantedRate(urgency int) float64 {
	rate := 0
	for u, f := range d.Urgencies {
		if u >= urgency {
			rate += f.Granted
		}
	}
	return float64(rate)
}
