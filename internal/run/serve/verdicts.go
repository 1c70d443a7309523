// This file defines how a gateway keeps the verdicts on parts of requests that crash backend servers. The judges write all of
// them to one entry of the store by compare-and-swap, so that nodes which start, or missed the message, read them.

package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"ebonyferry/internal/base/event"
	"ebonyferry/internal/base/pause"
	"ebonyferry/internal/core/quarantine"
	"ebonyferry/internal/edge/kvstore"
)

const (
	// verdictsKey is the entry of the store that holds the verdicts.
	verdictsKey = "quarantine/parts"
	// verdictsPeriod is how often a judge checks whether the store has its verdicts.
	verdictsPeriod = 500 * time.Millisecond
)

// errVerdicts means that the entry with the verdicts is not in the documented format.
var errVerdicts = errors.New("verdicts are malformed")

// verdictJSON is one verdict in the store.
type verdictJSON struct {
	Parts   []string  `json:"parts"` // 16 hexadecimal digits each
	Crashes int       `json:"crashes"`
	Until   time.Time `json:"until"`
}

func encodeVerdicts(list []quarantine.PartVerdict) ([]byte, error) {
	out := make([]verdictJSON, len(list))
	for i, v := range list {
		out[i] = verdictJSON{Crashes: v.Crashes, Until: v.Until.UTC().Round(time.Second)}
		for _, part := range v.Parts {
			out[i].Parts = append(out[i].Parts, fmt.Sprintf("%016x", part))
		}
	}
	return json.Marshal(out)
}

// decodeVerdicts decodes the verdicts of the store. Errors wrap errVerdicts.
func decodeVerdicts(value []byte) ([]quarantine.PartVerdict, error) {
	var in []verdictJSON
	if err := json.Unmarshal(value, &in); err != nil {
		return nil, fmt.Errorf("%w: %w", errVerdicts, err)
	}
	list := make([]quarantine.PartVerdict, len(in))
	for i, v := range in {
		list[i] = quarantine.PartVerdict{Crashes: v.Crashes, Until: v.Until}
		for _, text := range v.Parts {
			part, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return nil, fmt.Errorf("%w: part %q: %w", errVerdicts, text, err)
			}
			list[i].Parts = append(list[i].Parts, part)
		}
	}
	return list, nil
}

// applyVerdicts applies the verdicts of the store.
func (g *Gateway) applyVerdicts(c kvstore.Change) {
	if c.Deleted {
		return // they end by themselves
	}
	list, err := decodeVerdicts(c.Value)
	if err != nil {
		event.Log(g.log, event.EntryUnreadable, event.Fields{"key": c.Key, "revision": c.Revision, "cause": err.Error()})
		return
	}
	g.rt.MergeVerdicts(list)
}

// keepVerdicts writes the verdicts to the store while this node is a judge, until ctx ends.
func (g *Gateway) keepVerdicts(ctx context.Context) error {
	for pause.For(ctx, verdictsPeriod) {
		if _, judge := g.Judges(); !judge {
			continue
		}
		if list := g.rt.Verdicts(); len(list) > 0 {
			g.writeVerdicts(ctx, list)
		}
	}
	return nil
}

// writeVerdicts writes verdicts unless the store has them. If another judge wrote meanwhile, the next period writes what its
// entry lacks.
func (g *Gateway) writeVerdicts(ctx context.Context, list []quarantine.PartVerdict) {
	entries, _, err := g.mirror.List(ctx, verdictsKey)
	if err != nil {
		return // the mirror has no data yet
	}
	var revision kvstore.Revision
	if i := slices.IndexFunc(entries, func(e kvstore.Entry) bool { return e.Key == verdictsKey }); i >= 0 {
		revision = entries[i].Revision
		if stored, err := decodeVerdicts(entries[i].Value); err == nil && hasAll(stored, list) {
			return
		}
	}
	value, err := encodeVerdicts(list)
	if err == nil {
		_, err = g.store.CompareAndSwap(ctx, verdictsKey, revision, value, 0)
	}
	if err != nil && !errors.Is(err, kvstore.ErrConflict) {
		event.Log(g.log, event.VerdictsUnwritten, event.Fields{"cause": err.Error()})
	}
}

// hasAll reports whether stored has the parts of all verdicts in list, for as long.
func hasAll(stored, list []quarantine.PartVerdict) bool {
	return !slices.ContainsFunc(list, func(v quarantine.PartVerdict) bool {
		return !slices.ContainsFunc(stored, func(s quarantine.PartVerdict) bool {
			return slices.Equal(s.Parts, v.Parts) && !s.Until.Before(v.Until.Add(-verdictSlack))
		})
	})
}

// verdictSlack is how much earlier a stored verdict may end than the same verdict of another judge.
const verdictSlack = 10 * time.Second
