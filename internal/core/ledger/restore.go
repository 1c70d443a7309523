// This file decides which records are written again after the store came back from an earlier copy.

package ledger

import (
	"cmp"
	"slices"
	"time"
)

// Lost returns the records of an earlier state that this state, of a restored store, lacks, oldest first. Records past their
// retention are not needed any more. If both have a run of a call, the later run counts: another node may have run the call
// since the restore.
func (p *Partition) Lost(earlier *Partition, now time.Time) []Record {
	oldest := now.Add(-p.limits.Retention)
	var lost []Record
	for id, held := range earlier.index {
		if held.IntentAt.Before(oldest) {
			continue
		}
		if stored, ok := p.index[id]; !ok || stored.precedes(held) {
			lost = append(lost, held)
		}
	}
	slices.SortFunc(lost, func(a, b Record) int { return cmp.Or(a.IntentAt.Compare(b.IntentAt), cmp.Compare(a.ID, b.ID)) })
	return lost
}

// precedes reports whether o is a later state of the same run or of a run that began after r was withdrawn.
func (r Record) precedes(o Record) bool {
	if r.RunID == o.RunID {
		return r.State == StateIntent && o.State != StateIntent
	}
	return r.State == StateNotRun && r.IntentAt.Before(o.IntentAt)
}

// PrepareRestore returns a plan whose head has the lost records again, as many as fit into MaxHeadBytes. If all do, the head
// states that the records are complete in an era.
func (p *Partition) PrepareRestore(writer Head, lost []Record, era uint32) Plan {
	head := Head{Node: writer.Node, Epoch: writer.Epoch, Nonce: writer.Nonce, Era: p.head.Era, Sealed: p.head.Sealed}
	head.Records = slices.Clone(p.head.Records)
	size := len(Encode(Segment{Records: head.Records}))
	plan := Plan{}
	for _, r := range lost {
		size += len(Encode(Segment{Records: []Record{r}}))
		if size > p.limits.MaxHeadBytes && len(head.Records) > 0 {
			break
		}
		if i := slices.IndexFunc(head.Records, func(h Record) bool { return h.ID == r.ID }); i >= 0 {
			head.Records[i] = r
		} else {
			head.Records = append(head.Records, r)
		}
		plan.Accepted = append(plan.Accepted, r)
	}
	if len(plan.Accepted) == len(lost) {
		head.Era = era
	}
	plan.Head = head
	return plan
}

// Segment returns a segment that the head refers to, and whether p holds it.
func (p *Partition) Segment(key string) (Segment, bool) {
	s, ok := p.segments[key]
	return s, ok
}
