package serve

import (
	"slices"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
)

// withoutLeaving returns the configuration with the backend servers that the platform's list of VMs marks for
// termination out of service, so that they get no new work. It returns in itself if there are none.
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
