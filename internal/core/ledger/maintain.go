// This file defines how a partition's head stays small: its records are sealed into segments, and small segments
// are merged.

package ledger

import "time"

// Maintenance is a new segment. It is written under Key, which must not exist yet, before the head that
// PrepareMaintenance returns.
type Maintenance struct {
	Key     string
	Segment Segment
	merged  []string // keys of the adjacent segments that the new one replaces; empty when it seals the head's records
}

// NextMaintenance returns the next maintenance that is due, or false if there is none. The nonce makes the
// segment's key unique.
func (p *Partition) NextMaintenance(nonce string, now time.Time) (Maintenance, bool) {
	m := Maintenance{Key: SegmentKey(p.number, nonce)}
	if len(Encode(Segment{Records: p.head.Records})) > p.limits.SealBytes {
		m.Segment.Records = p.head.Records
		return m, true
	}
	m.merged = p.mergeableSegments()
	if len(m.merged) == 0 {
		return Maintenance{}, false
	}
	m.Segment.Records = p.mergedRecords(m.merged, now.Add(-p.limits.Retention))
	return m, true
}

// mergeableSegments returns the keys of the first MergeCount adjacent segments whose total size is at most
// MaxSegmentBytes, or nil if there are none.
func (p *Partition) mergeableSegments() []string {
	n := p.limits.MergeCount
	for i := 0; i+n <= len(p.head.Sealed); i++ {
		var keys []string
		bytes := 0
		for _, s := range p.head.Sealed[i : i+n] {
			keys = append(keys, s.Key)
			bytes += s.Bytes
		}
		if bytes <= p.limits.MaxSegmentBytes {
			return keys
		}
	}
	return nil
}

// mergedRecords returns the newest record of each call in the given segments whose intent was not created
// before oldest.
func (p *Partition) mergedRecords(keys []string, oldest time.Time) []Record {
	var records []Record
	seen := make(map[ID]bool)
	for _, key := range keys {
		for _, r := range p.segments[key].Records {
			if seen[r.ID] || r.IntentAt.Before(oldest) {
				continue
			}
			seen[r.ID] = true
			if newest, ok := p.index[r.ID]; ok {
				r = newest
			}
			records = append(records, r)
		}
	}
	return records
}

// PrepareMaintenance returns a plan whose head refers to the segment of m instead of what the segment replaces.
func (p *Partition) PrepareMaintenance(m Maintenance, writer Head) Plan {
	sealed := SegmentRef{Key: m.Key, Bytes: len(Encode(m.Segment))}
	for _, r := range m.Segment.Records {
		if r.IntentAt.After(sealed.Newest) {
			sealed.Newest = r.IntentAt
		}
	}
	head := Head{Node: writer.Node, Epoch: writer.Epoch, Nonce: writer.Nonce, Era: p.head.Era}
	if len(m.merged) == 0 {
		head.Sealed = append(append(head.Sealed, p.head.Sealed...), sealed)
		return Plan{Head: head}
	}
	plan := Plan{}
	replaced := make(map[string]bool, len(m.merged))
	for _, key := range m.merged {
		replaced[key] = true
	}
	for _, s := range p.head.Sealed {
		if !replaced[s.Key] {
			head.Sealed = append(head.Sealed, s)
			continue
		}
		if s.Key == m.merged[0] {
			head.Sealed = append(head.Sealed, sealed)
		}
		plan.Dropped = append(plan.Dropped, s)
	}
	head.Records = p.head.Records
	plan.Head = head
	return plan
}

// CommitMaintenance makes the plan that PrepareMaintenance returned for m the committed state, after its head was
// written to the store.
func (p *Partition) CommitMaintenance(m Maintenance, plan Plan) {
	p.segments[m.Key] = m.Segment
	for _, s := range plan.Dropped {
		delete(p.segments, s.Key)
	}
	p.head = plan.Head
}
