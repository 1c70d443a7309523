package quarantine

import "time"

// maxPassed bounds each of the two generations of parts that Passes remembers.
const maxPassed = 16 << 10

// Pass is the time at which an answer to a request with a part got past its beginning.
type Pass struct {
	Part uint64
	At   time.Time
}

// Passes remembers when answers to requests with a part last got past their beginning. It forgets the parts that had none
// for longest. The zero value is empty. It is not safe for concurrent use.
type Passes struct {
	recent, older map[uint64]time.Time
}

// Record records an answer. The latest one of a part counts.
func (p *Passes) Record(part uint64, at time.Time) {
	if at.Before(p.Last(part)) {
		at = p.Last(part)
	}
	if p.recent == nil || len(p.recent) >= maxPassed {
		p.older, p.recent = p.recent, make(map[uint64]time.Time)
	}
	p.recent[part] = at
}

// Last returns the time of the latest answer to a request with a part, or the zero time if none is remembered.
func (p *Passes) Last(part uint64) time.Time {
	if at, ok := p.recent[part]; ok {
		return at
	}
	return p.older[part]
}
