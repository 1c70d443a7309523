// This file defines how a node resumes after its process did not run for a while. Until fresh data arrives it does not know
// which servers have left or been evacuated meanwhile, so it starts no new work. Streams in flight continue.

package exchange

import "time"

// maxResumeWait is how long a node that was stalled waits for fresh data. After that the store is probably unavailable, and
// the data that the node holds is the best there is.
const maxResumeWait = 2 * time.Second

// resumption is the state after a stall.
type resumption struct {
	wokeAt time.Time // when the process ran again
	until  time.Time // new work waits until then; zero if it does not wait
}

// awaitsFreshData reports whether the node was stalled and has received no fresh data since. The caller holds mu.
func (rt *Runtime) awaitsFreshData(now time.Time) bool {
	if rt.stalls.Check(now) {
		rt.resumed = resumption{wokeAt: now, until: now.Add(maxResumeWait)}
	}
	return now.Before(rt.resumed.until)
}

// RecordFreshData records that the data about servers is current, as the answer to a request that was sent at a time
// shows. Answers to earlier requests may have waited while the process was stalled.
func (rt *Runtime) RecordFreshData(sentAt time.Time) {
	rt.mu.Lock()
	fresh := rt.awaitsFreshData(time.Now()) && sentAt.After(rt.resumed.wokeAt)
	if fresh {
		rt.resumed.until = time.Time{}
	}
	rt.mu.Unlock()
	if fresh {
		rt.grantWaiting()
	}
}
