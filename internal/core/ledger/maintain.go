package ledger

import "time"

// This file defines how a partition's head is kept small: its records are sealed into segments, and small
// segments are merged.

// Maintenance is a segment to write under Key, which must not exist, before the head that PrepareMaintenance makes.
type Maintenance struct {
	Key     string
	Segment Segment
	merged  []string // keys of the neighbouring segments that the new one replaces; none when it seals the head
}

// NextMaintenance returns the next maintenance that is due, if any. The nonce makes the segment's key unique.
func (p *Partition) NextMaintenance(nonce string, now time.Time) (Maintenance, bool) {
	m := Maintenance{Key: SegmentKey(p.number, nonce)}
	if len(Encode(Segment{Records: p.head.Records})) > p.limits.SealBytes {
		m.Segment.Records = p.head.Records
		return m, true
	}
	m.merged = p.mergeable()
	if len(m.merged) == 0 {
		return Maintenance{}, false
	}
	m.Segment.Records = p.union(m.merged, now.Add(-p.limits.Retention))
	return m, true
}

// Returns the keys of the first MergeCount neighbouring segments that together are no larger than
// MaxSegmentBytes, or none.
func (p *Partition) mergeable() []string {
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

// Returns the newest records of all calls in the named segments that are within their retention.
func (p *Partition) union(keys []string, oldest time.Time) []Record {
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

// PrepareMaintenance returns the head that names the written segment in place of what it replaces.
func (p *Partition) PrepareMaintenance(m Maintenance, writer Head) Plan {
	sealed := SegmentRef{Key: m.Key, Bytes: len(Encode(m.Segment))}
	for _, r := range m.Segment.Records {
		if r.IntentAt.After(sealed.Newest) {
			sealed.Newest = r.IntentAt
		}
	}
	head := Head{Node: writer.Node, Epoch: writer.Epoch, Nonce: writer.Nonce}
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

// CommitMaintenance makes the applied maintenance the committed state.
func (p *Partition) CommitMaintenance(m Maintenance, plan Plan) {
	p.segments[m.Key] = m.Segment
	for _, s := range plan.Dropped {
		delete(p.segments, s.Key)
	}
	p.head = plan.Head
}
