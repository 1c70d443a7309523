// This file defines the difference between two bundles.

package bundle

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind is what happened to a part of a bundle.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two bundles.
type Change struct {
	Kind  ChangeKind `json:"kind"`
	Part  string     `json:"part"`            // such as `server "e1"`
	Field string     `json:"field,omitempty"` // for Changed
	Was   string     `json:"was,omitempty"`   // JSON of the old value
	Now   string     `json:"now,omitempty"`   // JSON of the new value
}

// String formats the change on one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s %s", c.Part, c.Now)
	case Removed:
		return fmt.Sprintf("- %s %s", c.Part, c.Was)
	}
	return fmt.Sprintf("~ %s %s: %s -> %s", c.Part, c.Field, c.Was, c.Now)
}

// Diff returns the changes between two bundles: servers, models, services, loads, then regions. It does not
// compare ID, author and note.
func Diff(from, to Bundle) []Change {
	from, to = Canonical(from), Canonical(to)
	changes := diffLists("server", from.Servers, to.Servers, func(s Server) string { return s.ID })
	changes = append(changes, diffLists("model", from.Models, to.Models, func(m Model) string { return m.Name })...)
	changes = append(changes, diffLists("service", from.Services, to.Services, func(s Service) string { return s.Name })...)
	changes = append(changes, diffFields("loads", from.Loads, to.Loads)...)
	return append(changes, diffLists("region", from.Regions, to.Regions, func(r string) string { return r })...)
}

// diffLists compares two lists sorted by key.
func diffLists[T any](part string, from, to []T, key func(T) string) []Change {
	var changes []Change
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && key(from[0]) < key(to[0]):
			changes = append(changes, Change{Kind: Removed, Part: fmt.Sprintf("%s %q", part, key(from[0])), Was: compactJSON(from[0])})
			from = from[1:]
		case len(from) == 0 || key(to[0]) < key(from[0]):
			changes = append(changes, Change{Kind: Added, Part: fmt.Sprintf("%s %q", part, key(to[0])), Now: compactJSON(to[0])})
			to = to[1:]
		default:
			changes = append(changes, diffFields(fmt.Sprintf("%s %q", part, key(from[0])), from[0], to[0])...)
			from, to = from[1:], to[1:]
		}
	}
	return changes
}

// diffFields compares the fields of two structs of the same type. It returns nil for other types.
func diffFields(part string, from, to any) []Change {
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	if a.Kind() != reflect.Struct {
		return nil
	}
	var changes []Change
	for i := range a.NumField() {
		was, now := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(was, now) {
			continue
		}
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		changes = append(changes, Change{Kind: Changed, Part: part, Field: name, Was: compactJSON(was), Now: compactJSON(now)})
	}
	return changes
}

// compactJSON encodes v for display.
func compactJSON(v any) string {
	if s, ok := v.(string); ok && s == "" {
		return `""`
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}

// UnservedRegions returns each model and region, such as `model "m" in region "r"`, that has a server for new work
// under was and none under now. It ignores models that the bundle of now lacks.
func UnservedRegions(was, now *InForce) []string {
	before, after := was.servedRegions(), now.servedRegions()
	var missing []string
	for key := range before {
		if _, kept := now.Bundle.model(key.model); kept && !after[key] {
			missing = append(missing, fmt.Sprintf("model %q in region %q", key.model, key.region))
		}
	}
	slices.Sort(missing)
	return missing
}

// modelRegion is a model in one region.
type modelRegion struct{ model, region string }

// servedRegions returns the models and regions with a usable server for a version that takes traffic.
func (in *InForce) servedRegions() map[modelRegion]bool {
	served := make(map[modelRegion]bool)
	for _, m := range in.Bundle.Models {
		for _, vs := range in.Shares(m.Name) {
			if vs.Share == 0 {
				continue
			}
			for _, s := range in.Engines(ModelVersion{Model: m.Name, Version: vs.Version}) {
				served[modelRegion{m.Name, s.Region}] = true
			}
		}
	}
	return served
}
