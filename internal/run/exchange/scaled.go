// This file defines what the requests of a service ask for, for the node that orders servers.

package exchange

import (
	"time"

	"ebonyferry/internal/core/backend"
	"ebonyferry/internal/core/placement"
	"ebonyferry/internal/core/route"
)

// ServiceDemand is what the placed requests of a service take, as a number of full servers.
type ServiceDemand struct {
	Service *route.Service
	Running float64        // what all nodes placed, as this node knows it
	Servers map[string]int // usable servers by failure domain
}

// scaled returns the services whose numbers of servers are ordered by nodes.
func (rt *Runtime) scaled() []*route.Service {
	if cfg := rt.config.Load(); cfg != nil {
		return cfg.Scaled()
	}
	return nil
}

// Demands returns what the placed requests take of the services whose numbers of servers are ordered by nodes.
func (rt *Runtime) Demands() []ServiceDemand {
	var list []ServiceDemand
	now := time.Now()
	for _, service := range rt.scaled() {
		d := ServiceDemand{Service: service, Servers: make(map[string]int)}
		rt.mu.Lock()
		for _, srv := range rt.pool.Usable(service.Name, now) {
			d.Servers[srv.Domain]++
			d.Running += serverShare(service, srv, rt.loads.load(srv.ID, now))
		}
		rt.mu.Unlock()
		list = append(list, d)
	}
	return list
}

// WaitingDemand returns what the requests that wait at this node need, in full servers, by service whose number of servers is ordered. Services
// without servers and without engines have no measure for it and are missing.
func (rt *Runtime) WaitingDemand() map[string]float64 {
	var out map[string]float64
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if len(rt.waiting.list) == 0 {
		return nil
	}
	for _, service := range rt.scaled() {
		typical := backend.Server{}
		if e := service.Engine; e != nil {
			typical.Slots = e.Slots
		} else if usable := rt.pool.Usable(service.Name, time.Now()); len(usable) > 0 {
			typical = usable[0]
		}
		for _, w := range rt.waiting.list {
			if w.adm.Service.Name != service.Name || typical.Slots == 0 {
				continue
			}
			if out == nil {
				out = make(map[string]float64)
			}
			out[service.Name] += serverShare(service, typical, placement.Load{Streams: 1, RunTokens: w.need.Tokens})
		}
	}
	return out
}

// serverShare returns the share of a server that a load takes: of its memory or of its slots, whichever is larger.
func serverShare(service *route.Service, srv backend.Server, l placement.Load) float64 {
	share := float64(l.Streams) / float64(max(1, srv.Slots))
	if e := service.Engine; e != nil && e.MemoryTokens > 0 {
		share = max(share, float64(l.RunTokens)/float64(e.MemoryTokens))
	}
	return share
}
