package bookings

import "testing"

const testKeys = 800

func TestBookingsRunAtMostOnce(t *testing.T) {
	res := run(t.Context(), 1, testKeys, breakNothing)
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
	if res := run(t.Context(), 1, testKeys, breakSwap); res.RanTwice == 0 {
		t.Error("store that swaps at any revision: got no booking that ran twice, want some")
	}
	if res := run(t.Context(), 1, testKeys, breakNotSent); res.FalseNotRun == 0 {
		t.Error("service that says \"not sent\" of calls that ran: got no false refusal, want some")
	}
}
