package ledger

import "time"

// This file defines the state of one partition in memory, and what may be written next.

// Limits bounds a partition.
type Limits struct {
	Retention       time.Duration // how long a record is kept after its intent
	SealBytes       int           // size of the head's records at which they are sealed
	MergeCount      int           // number of neighbouring small segments that are merged into one
	MaxSegmentBytes int           // largest merged segment
	MaxHeadBytes    int           // size of the head's records above which a batch is written in parts
}

// DefaultLimits are the limits of a node. Retention is part of what the system promises: a key that is used
// again later than this counts as a new call.
var DefaultLimits = Limits{
	Retention:       time.Hour,
	SealBytes:       16 << 10,
	MergeCount:      16,
	MaxSegmentBytes: 512 << 10,
	MaxHeadBytes:    512 << 10,
}

// Partition is what a node knows of one partition: the committed records up to one revision of its head. It
// is not safe for concurrent use.
type Partition struct {
	limits   Limits
	number   int
	head     Head
	segments map[string]Segment // sealed segments by key, exactly those that head names
	index    map[ID]Record      // newest committed record
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

// Len returns the number of calls known.
func (p *Partition) Len() int { return len(p.index) }

// Find returns the committed record of a call.
func (p *Partition) Find(id ID) (Record, bool) {
	r, ok := p.index[id]
	return r, ok
}

// MissingSegments returns the keys of the sealed segments that head names and p does not hold.
func (p *Partition) MissingSegments(head Head) []string {
	var keys []string
	for _, s := range head.Sealed {
		if _, ok := p.segments[s.Key]; !ok {
			keys = append(keys, s.Key)
		}
	}
	return keys
}

// Replace makes head the committed one. Segments holds those that MissingSegments named.
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
		p.note(kept[s.Key].Records)
	}
	p.note(head.Records)
}

func (p *Partition) note(records []Record) {
	for _, r := range records {
		p.index[r.ID] = r
	}
}

// Allows reports whether r may follow the committed record of its call.
func (p *Partition) Allows(r Record) bool {
	old, known := p.index[r.ID]
	if r.State == StateIntent {
		return !known || old.State == StateNotRun
	}
	return known && old.State == StateIntent && old.RunID == r.RunID
}

// Plan is a write of the head under consideration.
type Plan struct {
	Head     Head
	Accepted []Record     // those of the batch that stand in Head, in order
	Dropped  []SegmentRef // segments that Head no longer names, for deletion after the commit
	expired  bool         // records or segments past their retention were left out
}

// Prepare returns the head that adds a batch of records to the committed one. Records that Allows denies are
// left out, and so is the rest of the batch from the first record on with which the head's records would exceed
// MaxHeadBytes. The batch may hold the intent and the outcome of one call, in this order. Sealed segments whose
// records are all past their retention are dropped.
func (p *Partition) Prepare(writer Head, batch []Record, now time.Time) Plan {
	head := Head{Node: writer.Node, Epoch: writer.Epoch, Nonce: writer.Nonce}
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
	place := make(map[ID]int, len(p.head.Records)+len(batch))
	for _, r := range p.head.Records {
		if r.IntentAt.Before(oldest) {
			plan.expired = true
			continue
		}
		place[r.ID] = len(head.Records)
		head.Records = append(head.Records, r)
	}
	size := len(Encode(Segment{Records: head.Records}))
	for _, r := range batch {
		size += len(Encode(Segment{Records: []Record{r}}))
		if size > p.limits.MaxHeadBytes && len(head.Records) > 0 {
			break
		}
		i, placed := place[r.ID]
		if !p.follows(r, head.Records, i, placed) {
			continue
		}
		if !placed {
			place[r.ID] = len(head.Records)
			head.Records = append(head.Records, r)
		} else {
			head.Records[i] = r
		}
		plan.Accepted = append(plan.Accepted, r)
	}
	plan.Head = head
	return plan
}

// Reports whether r may follow the record at place i of the head being made, or else the committed record.
func (p *Partition) follows(r Record, records []Record, i int, placed bool) bool {
	if !placed {
		return p.Allows(r)
	}
	view := Partition{index: map[ID]Record{r.ID: records[i]}}
	return view.Allows(r)
}

// Commit makes a plan that the store has accepted the committed state.
func (p *Partition) Commit(plan Plan, now time.Time) {
	p.head = plan.Head
	p.note(plan.Head.Records)
	for _, s := range plan.Dropped {
		delete(p.segments, s.Key)
	}
	if plan.expired {
		p.sweep(now.Add(-p.limits.Retention))
	}
}

// Drops the records of calls whose intent is older than oldest. All records of a run have one IntentAt.
func (p *Partition) sweep(oldest time.Time) {
	for id, r := range p.index {
		if r.IntentAt.Before(oldest) {
			delete(p.index, id)
		}
	}
}
