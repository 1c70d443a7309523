// Package duty performs the singleton duties of a gateway: it keeps the leases of the duties in the store, counts the requests that began
// to run on all nodes, and calls the platform while this node holds a duty. Package core/duty makes the decisions.
package duty

import (
	"context"
	"errors"

	"ebonyferry/internal/core/duty"
)

// ErrRefused means that the platform refused a call for good: the same call would be refused again.
var ErrRefused = errors.New("platform refused the call")

// Client calls the platform. Errors other than ErrRefused say nothing of whether the call took effect.
type Client interface {
	// ReportUsage reports the usage of a window.
	ReportUsage(ctx context.Context, t duty.Term, r duty.Report) error
	// OrderServers orders a number of servers.
	OrderServers(ctx context.Context, t duty.Term, o duty.Order) error
}
