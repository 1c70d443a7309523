// Package assurance decides which final statuses may reach the caller of a request.
//
// Some statuses assure a caller that its request has not run and never will, so that it may be sent again. A server that
// runs a request and fails afterwards may answer with the same status. For a request that may not be repeated this answer
// is withheld: the caller would send the request again, and it would run twice. A caller whose request may be repeated
// gets each answer as the server gave it.
//
// The package is the only place where a status is weighed against what is known of a request.
package assurance

import (
	"net/http"

	"ebonyferry/internal/core/route"
)

// Gives reports whether a status assures the caller that its request has not run and never will.
func Gives(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Failed reports whether a server's final answer to a request that it may have run says that it failed the request. Unlike other
// statuses from 400 to 499, those that assure the caller of something say nothing against the request itself.
func Failed(status int) bool { return status >= http.StatusInternalServerError || Gives(status) }

// MayForward reports whether a server's final answer may reach the caller, if the server does not state that it has not run the request.
func MayForward(kind route.Kind, status int) bool {
	return kind == route.Repeatable || !Gives(status)
}

// RefusalStatus returns the status of a refusal by the system itself that would have the given one: a refusal assures the caller of
// nothing once the request may have run, whatever its kind.
func RefusalStatus(notRun bool, status int) int {
	if !notRun && Gives(status) {
		return http.StatusBadGateway
	}
	return status
}
