package exchange

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// farTurn is the demand of other nodes that makes every turn come in many seconds.
const farTurn = `{"writers":{"u":{"0":{"w":3000,"n":1},"2":{"w":300000,"n":90,"g":10000,"s":3}},"a":{"one":{"m":500000,"w":{"2":300000}},"two":{"m":1000,"w":{"2":3000}}}}}`

// waitLong lets a request wait until the memory has been scarce for long enough for early refusals.
func waitLong(t *testing.T, rt *Runtime) {
	t.Helper()
	waitFor(t, rt, "/plan/x", "key2")
	rt.grantWaiting() // as Run does
	time.Sleep(settledAfter + 100*time.Millisecond)
	if err := receiveDemand(rt, farTurn); err != nil {
		t.Fatal(err)
	}
}

// Guards against callers that wait in vain for their whole time, and against a reason or a time that says nothing.
func TestRequestWhoseTurnIsFarOffIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := contended(100)
		defer time.Sleep(3 * time.Second) // lets the requests end
		waitLong(t, rt)
		out := waitFor(t, rt, "/plan/x", "key")
		var turn *turnError
		select {
		case err := <-out:
			if !errors.As(err, &turn) {
				t.Fatalf("got %v, want a turnError", err)
			}
		default:
			t.Fatal("the request waits")
		}
		if got, want := turn.reason(), ReasonAccountShare; got != want {
			t.Errorf("reason: got %s, want %s", got, want)
		}
		if turn.retryAfter < 2*time.Second || turn.retryAfter > maxRetryAfter {
			t.Errorf("retry after: got %v", turn.retryAfter)
		}
		// The memory is kept for the caller when it returns.
		rt.mu.Lock()
		defer rt.mu.Unlock()
		d, at := rt.demand.services["writers"], time.Now().Add(turn.retryAfter)
		before := rt.demand.own("writers", d, time.Now()).Urgencies[2].Waiting
		if got := rt.demand.own("writers", d, at.Add(time.Millisecond)).Urgencies[2].Waiting - before; got <= 0 {
			t.Errorf("memory kept for the caller at its time: got %d tokens", got)
		}
		if got := rt.demand.own("writers", d, at.Add(promiseWindow)).Urgencies[2].Waiting - before; got != 0 {
			t.Errorf("memory kept afterwards: got %d tokens, want none", got)
		}
	})
}

// Guards against wrong early refusals: with room, at the beginning of a shortage, and of callers that got a time to return.
func TestNoEarlyRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(3 * time.Second) // lets the requests end
		room := contended(100)
		waitLong(t, room)
		setRoom(room, 3600)
		if got := outcome(waitFor(t, room, "/plan/x", "key")); got != "waits" && got != "served" {
			t.Errorf("with room: got %s", got)
		}
		begins := contended(100)
		if err := receiveDemand(begins, farTurn); err != nil {
			t.Fatal(err)
		}
		if got := outcome(waitFor(t, begins, "/plan/x", "key")); got != "waits" {
			t.Errorf("at the beginning of a shortage: got %s, want it to wait", got)
		}
		returns := contended(100)
		waitLong(t, returns)
		adm, _ := returns.admit(testRequest("/plan/x"))
		adm.returning = true
		w := &waiter{slotRequest: slotRequest{adm: adm, until: time.Now().Add(time.Second)}}
		returns.mu.Lock()
		defer returns.mu.Unlock()
		returns.waiting.add(w)
		if err := returns.beyondTurn(adm.Service, returns.demand.services["writers"], w, time.Now()); err != nil {
			t.Errorf("caller that returns: got %v", err)
		}
		returns.waiting.remove(w)
	})
}

// Guards against returning callers that queue behind new ones, and against new callers that count as returning.
func TestReturningCallerIsRecognized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := contended(100)
		tests := []struct {
			left      time.Duration
			returning bool
		}{
			{0, false}, {30 * time.Second, false}, {30*time.Second - 100*time.Millisecond, false}, {27 * time.Second, true},
			{100 * time.Second, false}, {39 * time.Second, false}, {36 * time.Second, true},
		}
		for _, tt := range tests {
			req := testRequest("/plan/x")
			req.CallerTimeout = tt.left
			adm, refusal := rt.admit(req)
			if refusal != nil {
				t.Fatal(refusal)
			}
			rt.mu.Lock()
			rt.demand.recognize(adm, time.Now())
			rt.mu.Unlock()
			if adm.returning != tt.returning {
				t.Errorf("%v left: got returning %v, want %v", tt.left, adm.returning, tt.returning)
			}
		}
	})
}
