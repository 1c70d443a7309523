package serve

import (
	"slices"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
)

// This file defines what follows from backend servers that the platform's list of VMs says will go.

// Returns what is in force with the leaving servers taken out of service, so that they get no new work.
func withoutLeaving(in *bundle.InForce, v *membership.View) *bundle.InForce {
	var leaving []string
	for _, s := range in.Bundle.Servers {
		if v.IsLeaving(s.ID) && in.Usable(s) {
			leaving = append(leaving, s.ID)
		}
	}
	if len(leaving) == 0 {
		return in
	}
	head := in.Head
	head.OutOfService.Servers = append(slices.Clone(head.OutOfService.Servers), leaving...)
	return bundle.NewInForce(head, in.Bundle, in.Keys)
}
