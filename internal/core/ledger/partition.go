// This file defines the state of one partition in memory, and which records may be added to it.

package ledger

import "time"

// Limits bounds a partition.
type Limits struct {
	Retention       time.Duration // how long a record is kept after its intent was created
	SealBytes       int           // size of the head's records above which they are sealed
	MergeCount      int           // number of adjacent small segments that are merged into one
	MaxSegmentBytes int           // largest size of a merged segment
	MaxHeadBytes    int           // size of the head's records above which a batch is split over several writes
}

// DefaultLimits are the limits of a node. Retention is part of what the system promises: a key that is reused
// after this time starts a new call.
var DefaultLimits = Limits{
	Retention:       time.Hour,
	SealBytes:       16 << 10,
	MergeCount:      16,
	MaxSegmentBytes: 512 << 10,
	MaxHeadBytes:    512 << 10,
}

// Partition holds the committed records of one partition up to one revision of its head. It is not safe for
// concurrent use.
type Partition struct {
	limits   Limits
	number   int
	head     Head
	segments map[string]Segment // by key, exactly those that head refers to
	index    map[ID]Record      // newest committed record of each call
}

// NewPartition returns the state of a partition whose head does not exist yet.
func NewPartition(number int, limits Limits) *Partition {
	return &Partition{
		limits:   limits,
		number:   number,
		segments: make(map[string]Segment),
		index:    make(map[ID]Record),
	}
}

// Head returns the committed head. It must not be changed.
func (p *Partition) Head() Head { return p.head }

// Len returns the number of calls with a record.
func (p *Partition) Len() int { return len(p.index) }

// Find returns the committed record of a call.
func (p *Partition) Find(id ID) (Record, bool) {
	r, ok := p.index[id]
	return r, ok
}

// MissingSegments returns the keys of the sealed segments that head refers to and p does not hold.
func (p *Partition) MissingSegments(head Head) []string {
	var keys []string
	for _, s := range head.Sealed {
		if _, ok := p.segments[s.Key]; !ok {
			keys = append(keys, s.Key)
		}
	}
	return keys
}

// Replace makes head the committed head. The map must contain the segments whose keys MissingSegments returned.
func (p *Partition) Replace(head Head, segments map[string]Segment) {
	kept := make(map[string]Segment, len(head.Sealed))
	for _, s := range head.Sealed {
		seg, ok := segments[s.Key]
		if !ok {
			seg = p.segments[s.Key]
		}
		kept[s.Key] = seg
	}
	p.head, p.segments = head, kept
	p.index = make(map[ID]Record)
	for _, s := range head.Sealed {
		p.addToIndex(kept[s.Key].Records)
	}
	p.addToIndex(head.Records)
}

// addToIndex replaces the index entries of the records' calls.
func (p *Partition) addToIndex(records []Record) {
	for _, r := range records {
		p.index[r.ID] = r
	}
}

// Allows reports whether r may replace the committed record of its call, or be its first record.
func (p *Partition) Allows(r Record) bool {
	old, known := p.index[r.ID]
	if r.State == StateIntent {
		return !known || old.State == StateNotRun
	}
	return known && old.State == StateIntent && old.RunID == r.RunID
}

// Plan is a proposed write of the head.
type Plan struct {
	Head     Head
	Accepted []Record     // the records of the batch that Prepare accepted, in order
	Dropped  []SegmentRef // segments that Head no longer refers to, to be deleted after the commit
	expired  bool         // Head omits records or segments past their retention
}

// Prepare returns a plan whose head adds a batch of records to the committed head. It skips records that may not
// follow the previous record of their call, and stops at the first record with which the head's records would
// exceed MaxHeadBytes. The batch may contain both the intent and the outcome of a call, in this order. Prepare
// drops records past their retention, and sealed segments that contain only such records.
func (p *Partition) Prepare(writer Head, batch []Record, now time.Time) Plan {
	head := Head{Node: writer.Node, Epoch: writer.Epoch, Nonce: writer.Nonce, Era: p.head.Era}
	plan := Plan{}
	oldest := now.Add(-p.limits.Retention)
	for _, s := range p.head.Sealed {
		if s.Newest.Before(oldest) {
			plan.Dropped = append(plan.Dropped, s)
			plan.expired = true
			continue
		}
		head.Sealed = append(head.Sealed, s)
	}
	position := make(map[ID]int, len(p.head.Records)+len(batch))
	for _, r := range p.head.Records {
		if r.IntentAt.Before(oldest) {
			plan.expired = true
			continue
		}
		position[r.ID] = len(head.Records)
		head.Records = append(head.Records, r)
	}
	size := len(Encode(Segment{Records: head.Records}))
	for _, r := range batch {
		size += len(Encode(Segment{Records: []Record{r}}))
		if size > p.limits.MaxHeadBytes && len(head.Records) > 0 {
			break
		}
		i, inHead := position[r.ID]
		if !p.allowsInHead(r, head.Records, i, inHead) {
			continue
		}
		if !inHead {
			position[r.ID] = len(head.Records)
			head.Records = append(head.Records, r)
		} else {
			head.Records[i] = r
		}
		plan.Accepted = append(plan.Accepted, r)
	}
	plan.Head = head
	return plan
}

// allowsInHead reports whether r may replace records[i] if inHead is true, or else the committed record.
func (p *Partition) allowsInHead(r Record, records []Record, i int, inHead bool) bool {
	if !inHead {
		return p.Allows(r)
	}
	overlay := Partition{index: map[ID]Record{r.ID: records[i]}}
	return overlay.Allows(r)
}

// Commit makes a plan the committed state, after its head was written to the store.
func (p *Partition) Commit(plan Plan, now time.Time) {
	p.head = plan.Head
	p.addToIndex(plan.Head.Records)
	for _, s := range plan.Dropped {
		delete(p.segments, s.Key)
	}
	if plan.expired {
		p.removeExpired(now.Add(-p.limits.Retention))
	}
}

// removeExpired removes the calls whose intent was created before oldest. All records of a run have the same
// IntentAt.
func (p *Partition) removeExpired(oldest time.Time) {
	for id, r := range p.index {
		if r.IntentAt.Before(oldest) {
			delete(p.index, id)
		}
	}
}
