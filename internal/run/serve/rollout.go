// This file defines how a Node takes part in rollouts, and the operators' listener.

package serve

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/edge/operator"
	"ebonyferry/internal/run/rollout"
)

// makeRollout creates the rollout component, and an observer around the dispatcher that gathers its evidence.
func (n *Node) makeRollout() {
	n.cutsChanged = make(chan struct{}, 1)
	n.observer = rollout.NewObserver(n.dispatcher, n.FleetSize)
	n.rollout = rollout.New(n.store, n.fleet.View, n.Held, n.peers, n.observer,
		rollout.WithLog(n.log), rollout.WithCutsChanged(n.signalCutsChanged))
}

// signalCutsChanged makes applyConfigs apply the configuration again.
func (n *Node) signalCutsChanged() {
	select {
	case n.cutsChanged <- struct{}{}:
	default:
	}
}

// operatorRoutes returns the routes of the operators' listener.
func (n *Node) operatorRoutes() http.Handler {
	r := chi.NewRouter()
	operator.NewServer(n.store, n.Held, n.survey, operator.WithAudit(n.auditOperator),
		operator.WithQuarantine(n.dispatcher)).Mount(r)
	return r
}

// auditOperator logs the changes that operators made and the requests that were refused.
func (n *Node) auditOperator(name string, r *http.Request, err error) {
	fields := event.Fields{"operator": name, "method": r.Method, "path": r.URL.Path}
	if err != nil {
		fields["cause"] = err.Error()
		event.Log(n.log, event.OperatorRefused, fields)
		return
	}
	if r.Method != http.MethodGet {
		event.Log(n.log, event.OperatorChange, fields)
	}
}
