package bookings

import (
	"testing"
	"testing/synctest"
	"time"
)

const testKeys = 4000

// Runs the experiment in virtual time.
func inBubble(t *testing.T, b breakage) Result {
	t.Helper()
	var res Result
	synctest.Test(t, func(t *testing.T) {
		res = run(t.Context(), 1, testKeys, b)
		time.Sleep(time.Minute) // everything ends by its deadline
	})
	return res
}

func TestBookingsRunAtMostOnce(t *testing.T) {
	res := inBubble(t, breakNothing)
	t.Logf("%+v", res)
	if res.RanTwice != 0 || res.FalseNotRun != 0 || res.WrongAnswer != 0 {
		t.Errorf("ran twice, untruly not run, wrong answers: got %d, %d, %d, want 0",
			res.RanTwice, res.FalseNotRun, res.WrongAnswer)
	}
	if res.Kills == 0 || res.Outages == 0 || res.LostAnswers == 0 {
		t.Errorf("faults: got %d kills, %d outages, %d lost answers, want some of each", res.Kills, res.Outages, res.LostAnswers)
	}
	if got, want := res.Ran, testKeys/2; got < want {
		t.Errorf("bookings that ran: got %d, want at least %d", got, want)
	}
}

// The figures are of no use unless they tell a store and a service that break their promises.
func TestFiguresTellBrokenParts(t *testing.T) {
	if res := inBubble(t, breakSwap); res.RanTwice == 0 {
		t.Error("store that swaps at any revision: got no booking that ran twice, want some")
	} else {
		t.Logf("store that swaps at any revision: %d ran twice", res.RanTwice)
	}
	if res := inBubble(t, breakNotSent); res.FalseNotRun == 0 {
		t.Error("service that says \"not sent\" of calls that ran: got no false refusal, want some")
	}
}
