package bookings

import (
	"testing"
	"testing/synctest"
	"time"
)

const testBookings = 4000

// runVirtual runs the experiment in virtual time.
func runVirtual(t *testing.T, v variant) Result {
	t.Helper()
	var res Result
	synctest.Test(t, func(t *testing.T) {
		res = run(t.Context(), 1, testBookings, v)
		time.Sleep(time.Minute) // every call has ended by its deadline
	})
	return res
}

func TestBookingsRunAtMostOnce(t *testing.T) {
	res := runVirtual(t, variantStandard)
	t.Logf("%+v", res)
	if res.RanTwice != 0 || res.FalseNotRun != 0 || res.WrongAnswer != 0 {
		t.Errorf("ran twice, falsely not run, wrong answers: got %d, %d, %d, want 0",
			res.RanTwice, res.FalseNotRun, res.WrongAnswer)
	}
	if res.Kills == 0 || res.Outages == 0 || res.LostAnswers == 0 {
		t.Errorf("faults: got %d kills, %d outages, %d lost answers, want some of each", res.Kills, res.Outages, res.LostAnswers)
	}
	if got, want := res.Ran, testBookings/2; got < want {
		t.Errorf("bookings that ran: got %d, want at least %d", got, want)
	}
}

// Guards against figures that stay zero when the store or the service breaks a guarantee.
func TestFiguresRevealBrokenGuarantees(t *testing.T) {
	if res := runVirtual(t, variantBrokenSwap); res.RanTwice == 0 {
		t.Error("store that swaps at any revision: got no booking that ran twice, want some")
	} else {
		t.Logf("store that swaps at any revision: %d ran twice", res.RanTwice)
	}
	if res := runVirtual(t, variantFalseNotSent); res.FalseNotRun == 0 {
		t.Error("service that reports \"not sent\" of calls that ran: got no false refusal, want some")
	}
}
