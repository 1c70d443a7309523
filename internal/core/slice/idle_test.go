package slice

import (
	"testing"
	"time"
)

// The owner drops the entry of a holder that has not sent requests for a long time. The holder must accept the first
// grant when it sends requests again: a new entry must not restart the sequence numbers.
func TestIdleHolderAcceptsNextGrant(t *testing.T) {
	a, b := Process{"a", 1}, Process{"b", 2}
	timing := Timing{TTL: 20 * time.Second, Margin: time.Second, Grace: time.Hour}
	now := time.Unix(0, 0)
	o := NewOwner(Config{Full: Amount{32, 1000}, Cold: 32, Timing: timing}, 1, nil, now)
	o.SetUsers([]Process{a, b}, 2)
	var ha, hb Holder
	ask := func(proc Process, h *Holder) bool {
		o.Confirm(now)
		g, ok := o.Request(proc, h.Request(Amount{32, 1000}, 0), now)
		return ok && h.Accept(g, now, timing)
	}
	for range 100 {
		now = now.Add(time.Second)
		ask(a, &ha)
		ask(b, &hb)
	}
	for range 120 { // a cannot reach the owner
		now = now.Add(time.Second)
		ask(b, &hb)
	}
	now = now.Add(time.Second)
	if got, want := ask(a, &ha), true; got != want {
		t.Errorf("first grant after the partition accepted: got %v, want %v", got, want)
	}
	refused := 0
	for !ask(a, &ha) {
		now = now.Add(time.Second)
		refused++
	}
	if got, want := refused, 0; got != want {
		t.Errorf("grants refused: got %d, want %d", got, want)
	}
}
