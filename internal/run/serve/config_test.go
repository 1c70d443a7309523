package serve

import (
	"testing"

	"ebonyferry/internal/core/membership"
)

// A node that failed heartbeats may still run a generation that another node resumed, and would cancel it. So it is
// notified too.
func TestUnreachableNodesAreNotified(t *testing.T) {
	v := &membership.View{Nodes: []membership.Node{{Name: "a"}}, Unreachable: []membership.Node{{Name: "b"}}}
	for name, want := range map[string]bool{"a": true, "b": true, "c": false} {
		if n, got := listedNode(v, name); got != want || got && n.Name != name {
			t.Errorf("node %s: got %q, %v; want %v", name, n.Name, got, want)
		}
	}
}
