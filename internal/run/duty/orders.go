// This file defines how the holder of the scaling duty orders servers.

package duty

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/duty"
	"ebonyferry/internal/core/scaling"
)

const (
	// orderPeriod is how often the holder plans.
	orderPeriod = 500 * time.Millisecond
	// orderTimeout bounds one call with an order.
	orderTimeout = time.Second
	// orderRetry is the time between two calls about one service and failure domain after one that failed, and orderRefused after one
	// that the platform refused.
	orderRetry   = time.Second
	orderRefused = 10 * time.Second
	// waitingAge is how long the last message of another node about waiting requests counts: two of its messages may be lost.
	waitingAge = 3 * sendMax
	// maxWaiting bounds what one node's waiting requests may ask for, in full servers.
	maxWaiting = 10_000
)

// Demand is what the placed requests of a service take, as a number of full servers.
type Demand struct {
	Service string
	Limits  scaling.Limits
	Running float64        // what all nodes placed, as this node knows it
	Servers map[string]int // number of servers by failure domain
}

// WithDemands sets the functions that return what the placed requests of each service take, whose servers are ordered, and what the
// requests that wait at this node need, in full servers by service.
func WithDemands(placed func() []Demand, waiting func() map[string]float64) Option {
	return func(s *Service) { s.demands, s.ownWaiting = placed, waiting }
}

// nodeWaiting is what the waiting requests of another node need, by service, in full servers.
type nodeWaiting struct {
	byService map[string]float64
	at        time.Time
}

// orderer is the state of orderServers. Its fields belong to that goroutine.
type orderer struct {
	token    uint64
	planners map[string]*scaling.Planner // by service
	nextTry  map[duty.Order]time.Time    // by service and failure domain, with no servers
}

// checkWaiting returns an error that wraps duty.ErrMalformed if a number of servers that waiting requests need is not valid.
func checkWaiting(waiting map[string]float64) error {
	for service, n := range waiting {
		if n < 0 || n > maxWaiting {
			return fmt.Errorf("%w: requests of service %q that wait need %v servers", duty.ErrMalformed, service, n)
		}
	}
	return nil
}

// waitingElsewhere returns what the waiting requests of the other nodes need, by service.
func (s *Service) waitingElsewhere() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := make(map[string]float64)
	for name, w := range s.waiting {
		if time.Since(w.at) > waitingAge {
			delete(s.waiting, name)
			continue
		}
		for service, n := range w.byService {
			sum[service] += n
		}
	}
	return sum
}

// orderServers orders servers while this node holds the duty, until ctx ends.
func (s *Service) orderServers(ctx context.Context) error {
	for pause.For(ctx, orderPeriod) {
		s.stepOrders(ctx)
	}
	return nil
}

func (s *Service) stepOrders(ctx context.Context) {
	term, remaining := s.acting(duty.Scaling)
	if remaining <= 0 {
		return
	}
	o := &s.orders
	if term.Token != o.token {
		// What was ordered in another term is not known; a new planner starts from the servers that there are.
		*o = orderer{token: term.Token, planners: make(map[string]*scaling.Planner), nextTry: make(map[duty.Order]time.Time)}
	}
	own, elsewhere := s.ownWaiting(), s.waitingElsewhere()
	left := max(1, int(s.cfg.CallsPerSecond*orderPeriod.Seconds()/2)) // the other half is for reports and for a holder before this one
	for _, d := range s.demands() {
		p := o.planners[d.Service]
		if p == nil {
			p = scaling.NewPlanner(time.Now())
			o.planners[d.Service] = p
		}
		plan := p.Plan(d.Limits, d.Running+own[d.Service]+elsewhere[d.Service], d.Servers, time.Now())
		for _, domain := range slices.Sorted(maps.Keys(plan)) {
			if left == 0 {
				return
			}
			if s.order(ctx, p, duty.Order{Service: d.Service, Domain: domain, Servers: plan[domain]}) {
				left--
			}
		}
	}
}

// order gives one order, and reports whether it called the platform. An order that was not answered is given again, or the next one instead.
func (s *Service) order(ctx context.Context, p *scaling.Planner, order duty.Order) bool {
	subject := duty.Order{Service: order.Service, Domain: order.Domain}
	term, remaining := s.acting(duty.Scaling)
	if remaining <= 0 || term.Token != s.orders.token || time.Now().Before(s.orders.nextTry[subject]) {
		return false
	}
	call, cancel := context.WithTimeout(ctx, min(remaining, orderTimeout))
	err := s.client.OrderServers(call, term, order)
	cancel()
	fields := event.Fields{"service": order.Service, "domain": order.Domain, "servers": order.Servers}
	s.mu.Lock()
	if err == nil {
		s.totals.Ordered++
	} else {
		s.totals.Unordered++
	}
	s.mu.Unlock()
	if err != nil {
		wait := orderRetry
		if errors.Is(err, ErrRefused) {
			wait = orderRefused
		}
		s.orders.nextTry[subject] = time.Now().Add(wait)
		fields["cause"] = err.Error()
		event.Log(s.log, event.ServersNotOrdered, fields)
		return true
	}
	p.Ordered(order.Domain, order.Servers, time.Now())
	event.Log(s.log, event.ServersOrdered, fields)
	return true
}
