package serve

import (
	"testing"

	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/membership"
)

func TestLeavingServersGetNoNewWork(t *testing.T) {
	version := bundle.ModelVersion{Model: "m", Version: "v1"}
	servers := []bundle.Server{
		{ID: "a", Kind: bundle.KindEngine, Models: []bundle.ModelVersion{version}},
		{ID: "b", Kind: bundle.KindEngine, Models: []bundle.ModelVersion{version}},
		{ID: "c", Kind: bundle.KindEngine, Models: []bundle.ModelVersion{version}},
	}
	head := bundle.Head{Revision: 3, OutOfService: bundle.OutOfService{Servers: []string{"a"}}}
	in := bundle.NewInForce(head, bundle.Bundle{Servers: servers}, bundle.Keys{})

	got := withoutLeaving(in, &membership.View{Leaving: []string{"b", "elsewhere"}})
	if engines := got.Engines(version); len(engines) != 1 || engines[0].ID != "c" {
		t.Errorf("usable engines: got %v, want c alone", engines)
	}
	if len(in.Head.OutOfService.Servers) != 1 {
		t.Errorf("the head in force was changed: got %v", in.Head.OutOfService.Servers)
	}
	if got := withoutLeaving(in, &membership.View{Leaving: []string{"elsewhere"}}); got != in {
		t.Error("without leaving servers: got a copy, want the same configuration")
	}
}
