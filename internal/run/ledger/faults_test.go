// This file tests single sequences of events that have caused a wrong or lost outcome.

package ledger_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	coreledger "ebonyferry/internal/core/ledger"
	"ebonyferry/internal/core/membership"
	"ebonyferry/internal/edge/kvstore"
	fakeplatform "ebonyferry/internal/fake/platform"
	"ebonyferry/internal/run/ledger"
)

// removeOwners removes all nodes from the view, so that no partition has an owner and each node runs its calls
// itself.
func (f *fleet) removeOwners() {
	f.updateView(func(v *membership.View) { v.Nodes = nil })
}

// sealEveryWrite returns an option with which the head is sealed after every write.
func sealEveryWrite() ledger.Option {
	limits := coreledger.DefaultLimits
	limits.SealBytes = 1
	return ledger.WithLimits(limits)
}

// A node that is not the owner unloads its idle state. It must not do so while it seals the head.
func TestNonOwnerSealsAtSlowStore(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		a := f.startNode(ctx, "a", 1, nil, sealEveryWrite())
		f.removeOwners()
		f.store.SetDelay(900 * time.Millisecond)
		if got, want := call(a, ctx, "k"), "answer"; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		time.Sleep(20 * time.Second)
		f.store.SetDelay(0)
		if got, want := call(a, ctx, "k"), "replayed"; got != want {
			t.Errorf("repeated call: got %s, want %s", got, want)
		}
	})
}

// The store's answer to a maintenance write is lost, and another node writes the head before the first node
// retries. The head of the other node refers to the segment, so the first node must not delete it.
func TestSegmentInAnotherNodesHeadIsKept(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		writes := 0
		a := f.startNode(ctx, "a", 1, func(step string) {
			if step != "before write" && step != "after write" {
				return
			}
			if step == "before write" {
				writes++
			}
			if writes != 3 { // the intent, its segment, the head that refers to the segment
				return
			}
			if step == "before write" {
				f.store.LoseAnswers(kvstore.KindCAS, 1)
				return
			}
			time.Sleep(3 * time.Second)
		}, sealEveryWrite())
		b := f.startNode(ctx, "b", 2, nil)
		f.removeOwners()
		call(a, ctx, "k")
		time.Sleep(time.Second)
		for i := range 100 { // some of them are in the same partition
			call(b, ctx, fmt.Sprint(i))
		}
		time.Sleep(30 * time.Second)
		c := f.startNode(ctx, "c", 3, nil)
		f.removeOwners()
		if got, want := call(c, ctx, "k"), "replayed"; got != want {
			t.Errorf("a third node: got %s, want %s", got, want)
		}
	})
}

// After another node has written the head first, a node must write its queued records without waiting for
// another call.
func TestQueueIsWrittenAfterHeadConflict(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		a := f.startNode(ctx, "a", 1, nil)
		b := f.startNode(ctx, "b", 2, nil)
		f.removeOwners()
		keys := inOnePartition(20)
		for i, key := range keys {
			m := []*ledger.Manager{a, b}[i%2]
			if got, want := call(m, ctx, key), "answer"; got != want {
				t.Errorf("call %d: got %s, want %s", i, got, want)
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// inOnePartition returns n idempotency keys of bookings in one partition.
func inOnePartition(n int) []string {
	var keys []string
	for i := 0; len(keys) < n; i++ {
		key := fmt.Sprint(i)
		if coreledger.NewID("shop", "bookings", key).Partition() == 0 {
			keys = append(keys, key)
		}
	}
	return keys
}

// During an outage, more outcomes are queued than fit into one value of the store. All of them must be
// written after it.
func TestOutcomesQueuedInOutageAreWritten(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		a := f.startNode(ctx, "a", 1, nil)
		time.Sleep(time.Second)
		f.service.delay = 5 * time.Second
		f.service.bodySize = 1900
		keys := inOnePartition(500)
		got := make(chan string, len(keys))
		for _, key := range keys {
			go func() { got <- call(a, ctx, key) }()
		}
		time.Sleep(2 * time.Second)
		f.store.SetDelay(4 * time.Second) // beyond the client's timeout
		time.Sleep(10 * time.Second)
		f.store.SetDelay(0)
		time.Sleep(10 * time.Second)
		for range keys {
			if got := <-got; got != "answer" {
				t.Fatalf("first call: got %s, want answer", got)
			}
		}
		f.removeOwners()
		b := f.startNode(ctx, "b", 2, nil)
		f.removeOwners()
		replayed := 0
		for _, key := range keys {
			if call(b, ctx, key) == "replayed" {
				replayed++
			}
		}
		if replayed != len(keys) {
			t.Errorf("replayed: got %d, want %d", replayed, len(keys))
		}
	})
}

// After b has read the intent of a run, a withdraws the run and uses its key for another request. b must then refuse
// the first request.
func TestWithdrawnKeyIsReusedAtAnotherNode(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		f.service.unreachable = true
		writes := 0
		a := f.startNode(ctx, "a", 1, func(step string) {
			if step == "before write" {
				writes++
				if writes == 2 { // of the outcome
					time.Sleep(400 * time.Millisecond)
				}
			}
		})
		b := f.startNode(ctx, "b", 2, nil)
		f.removeOwners()
		if got, want := call(a, ctx, "k"), "notRun"; got != want {
			t.Errorf("first call: got %s, want %s", got, want)
		}
		time.Sleep(200 * time.Millisecond)
		if got, want := call(b, ctx, "k"), "unknown"; got != want {
			t.Errorf("while the outcome is being written: got %s, want %s", got, want)
		}
		time.Sleep(400 * time.Millisecond)
		f.service.unreachable = false
		other := booking("k")
		other.Body = []byte(`{"item":"axe"}`)
		if got, want := outcome(a.Call(ctx, other)), "answer"; got != want {
			t.Errorf("other request: got %s, want %s", got, want)
		}
		time.Sleep(200 * time.Millisecond)
		_, err := b.Call(ctx, booking("k"))
		if err == nil || !strings.Contains(err.Error(), "another request") {
			t.Errorf("first request: got %v, want a refusal for the reused key", err)
		}
	})
}

// The record of a call with an unknown outcome is dropped after its retention. A repeated call must still not get
// "notRun", because the call ran.
func TestExpiredUnknownOutcomeIsNotReportedNotRun(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		limits := coreledger.DefaultLimits
		limits.Retention = time.Minute
		a := f.startNode(ctx, "a", 1, nil, ledger.WithLimits(limits))
		b := f.startNode(ctx, "b", 2, nil, ledger.WithLimits(limits))
		f.updateView(func(v *membership.View) { v.Nodes = v.Nodes[:1] })
		f.network.Cut("a", "b", true)
		keys := inOnePartition(2)
		f.service.loseAnswers = true
		if got, want := call(a, ctx, keys[0]), "unknown"; got != want {
			t.Errorf("first call: got %s, want %s", got, want)
		}
		f.service.loseAnswers = false
		time.Sleep(2 * time.Minute)
		call(b, ctx, keys[1]) // makes b drop the record
		time.Sleep(time.Second)
		if got := call(a, ctx, keys[0]); got == "notRun" {
			t.Errorf("repeated call: got %s, but the call ran", got)
		}
	})
}

// The lease of large bodies lapses early. Later bodies must get a new lease.
func TestLargeAnswersAfterTheirLeaseLapsed(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		a := f.startNode(ctx, "a", 1, nil)
		f.service.bodySize = 100 << 10
		call(a, ctx, "first")
		time.Sleep(time.Second)
		lapsed := false
		for key := range f.store.LeasedKeys() {
			lapsed = lapsed || strings.Contains(key, "/bodies/") && f.store.ExpireLease(key)
		}
		if !lapsed {
			t.Fatal("no lease of a body lapsed")
		}
		call(a, ctx, "second")
		time.Sleep(time.Second)
		answer, err := a.Call(ctx, booking("second"))
		if err != nil || answer.Status != http.StatusCreated || len(answer.Body) < f.service.bodySize {
			t.Errorf("repeated call: got %d with %d bytes and error %v, want the stored answer", answer.Status, len(answer.Body), err)
		}
	})
}

// A caller whose repeated call makes the node request the outcome leaves as soon as the service has answered. The
// answer must still be stored with its body.
func TestRequestedOutcomeIsStoredAfterCallerLeaves(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		a := f.startNode(ctx, "a", 1, nil)
		f.service.bodySize = 100 << 10
		f.service.loseAnswers, f.service.answersByKey = true, true
		if got, want := call(a, ctx, "k"), "unknown"; got != want {
			t.Errorf("first call: got %s, want %s", got, want)
		}
		time.Sleep(time.Second)
		f.store.SetDelay(100 * time.Millisecond)
		leaving, cancel := context.WithTimeout(ctx, 250*time.Millisecond) // the head is read, the body not written
		defer cancel()
		call(a, leaving, "k")
		f.store.SetDelay(0)
		time.Sleep(10 * time.Second)
		if got, want := call(a, ctx, "k"), "replayed"; got != want {
			t.Errorf("repeated call: got %s, want %s", got, want)
		}
	})
}

// A service that does not respond when asked for an outcome must not delay a call beyond its deadline.
func TestOutcomeRequestEndsByDeadline(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		a := f.startNode(ctx, "a", 1, nil)
		f.service.loseAnswers = true
		call(a, ctx, "k")
		f.service.silentByKey = true
		repeated := booking("k")
		repeated.Deadline = time.Now().Add(20 * time.Second)
		ctx, cancel := context.WithTimeout(ctx, time.Hour)
		defer cancel()
		if got, want := outcome(a.Call(ctx, repeated)), "unknown"; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		if got, want := time.Now(), repeated.Deadline; got.After(want) {
			t.Errorf("ended %v after the deadline", got.Sub(want))
		}
	})
}

// The store accepts a new segment and refuses the head that refers to it. Nothing else deletes the segment, so the
// node must do so.
func TestRefusedSealingLeavesNoSegment(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		writes := 0
		a := f.startNode(ctx, "a", 1, func(step string) {
			if step != "after write" {
				return
			}
			writes++
			switch writes {
			case 2: // the segment
				f.store.SetOutage(fakeplatform.OutageRefuse)
			case 3: // the head
				f.store.SetOutage(fakeplatform.OutageNone)
			}
		}, sealEveryWrite())
		call(a, ctx, "k")
		time.Sleep(5 * time.Second)
		client := kvstore.New([]netip.AddrPort{storeAddr}, kvstore.WithHTTPClient(f.network.Client("a")))
		entry, err := client.Get(ctx, coreledger.HeadKey(coreledger.NewID("shop", "bookings", "k").Partition()))
		if err != nil {
			t.Fatal(err)
		}
		head, err := coreledger.DecodeHead(entry.Value)
		if err != nil {
			t.Fatal(err)
		}
		entries, _, err := client.List(ctx, "ledger/")
		if err != nil {
			t.Fatal(err)
		}
		if got, want := len(entries), 1+len(head.Sealed); got != want {
			t.Errorf("values in the store: got %d, want the head and its %d segments", got, want-1)
		}
	})
}

// A node that stops right after its last answer must write the outcome first.
func TestStoppingNodeWritesItsOutcomes(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		running, end := context.WithCancel(ctx)
		a := f.startNode(running, "a", 1, nil)
		if got, want := call(a, ctx, "k"), "answer"; got != want {
			t.Errorf("first call: got %s, want %s", got, want)
		}
		end()
		time.Sleep(5 * time.Second)
		f.removeOwners()
		b := f.startNode(ctx, "b", 2, nil)
		if got, want := call(b, ctx, "k"), "replayed"; got != want {
			t.Errorf("the next owner: got %s, want %s", got, want)
		}
	})
}

// After b has read the intent of a run, a withdraws the run. A repeated call at b must then run.
func TestCallRunsAgainAfterWithdrawalByAnotherNode(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, f *fleet) {
		f.service.unreachable = true
		writes := 0
		a := f.startNode(ctx, "a", 1, func(step string) {
			if step == "before write" {
				writes++
				if writes == 2 { // of the outcome
					time.Sleep(400 * time.Millisecond)
				}
			}
		})
		b := f.startNode(ctx, "b", 2, nil)
		f.removeOwners()
		call(a, ctx, "k")
		time.Sleep(200 * time.Millisecond)
		if got, want := call(b, ctx, "k"), "unknown"; got != want {
			t.Errorf("while the outcome is being written: got %s, want %s", got, want)
		}
		f.service.unreachable = false
		time.Sleep(400 * time.Millisecond)
		if got, want := call(b, ctx, "k"), "answer"; got != want {
			t.Errorf("repeated call: got %s, want %s", got, want)
		}
	})
}
