package serve

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/edge/operator"
	"ebonyferry/internal/run/rollout"
)

// This file defines how the node takes part in rollouts and what it logs of operators' requests.

// Makes the node's part in rollouts, which watches the places that the dispatcher grants.
func (n *Node) makeRollout() {
	n.reshaped = make(chan struct{}, 1)
	n.observer = rollout.NewObserver(n.dispatcher, n.FleetSize)
	n.rollout = rollout.New(n.store, n.fleet.View, n.Held, n.peers, n.observer,
		rollout.WithLog(n.log), rollout.WithCutsChanged(n.reshape))
}

// Tells follow that the shares to apply have changed.
func (n *Node) reshape() {
	select {
	case n.reshaped <- struct{}{}:
	default:
	}
}

// Returns the routes of the operators' listener.
func (n *Node) operatorRoutes() http.Handler {
	r := chi.NewRouter()
	operator.NewServer(n.store, n.Held, n.survey, operator.WithAudit(n.auditOperator),
		operator.WithQuarantine(n.dispatcher)).Register(r)
	return r
}

// Logs changes that operators made and requests that were refused.
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
