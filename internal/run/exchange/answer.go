// This file defines how complete answers of servers reach callers.

package exchange

import (
	"ebonyferry/internal/base/event"
	"ebonyferry/internal/core/assurance"
	"ebonyferry/internal/core/backend"
)

// forwardAnswer passes on a server's complete answer, unless it would assure the caller of a request that may have run that it has not.
// Then the caller gets a refusal that says nothing of the kind, without the server's retry time.
func (rt *Runtime) forwardAnswer(w Responder, adm *Admitted, srv backend.Server, ans Answer) Result {
	res := Result{Server: srv.ID, Status: ans.Status}
	if !assurance.MayForward(adm.Route.Kind, ans.Status) {
		rt.count.withheld.Add(1)
		event.Log(rt.log, event.AnswerWithheld, event.Fields{"request": adm.ID, "server": srv.ID, "status": ans.Status})
		res.Reason = refuse(w, Refusal{Reason: ReasonWithheld}).Reason
		return res
	}
	if w.Answer(ans) != nil {
		res.Reason, res.Status = ReasonCallerLeft, 0
	}
	return res
}
