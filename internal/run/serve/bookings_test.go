// This file tests bookings that a node forwards to the node that runs them.

package serve_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	fakeservice "ebonyferry/internal/fake/service"
	"ebonyferry/internal/run/serve"
)

// bookings is high enough that each of two nodes runs some of them.
const bookings = 8

// sendBookings sends bookings to a node concurrently and calls meanwhile. The test fails unless each booking gets the
// service's answer.
func sendBookings(t *testing.T, n *serve.Node, meanwhile func()) {
	t.Helper()
	var group sync.WaitGroup
	for i := range bookings {
		group.Go(func() {
			status, body, err := sendBooking(n, fmt.Sprint("booking", i))
			if err != nil || status != http.StatusCreated {
				t.Errorf("booking %d: got status %d, body %s, error %v; want %d", i, status, body, err, http.StatusCreated)
			}
		})
	}
	meanwhile()
	group.Wait()
}

func sendBooking(n *serve.Node, id string) (int, string, error) {
	body := fmt.Sprintf(`{"booking":%q,"item":"press","count":1}`, id)
	r, err := http.NewRequest("POST", "http://"+n.CallerAddr().String()+"/services/desk/bookings", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Idempotency-Key", id)
	r.Header.Set("Ferry-Deadline", "30s")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// startPair starts two nodes and waits until each lists the other.
func (f *fixture) startPair() (a, b *serve.Node) {
	a, b = f.startNode("a", nil), f.startNode("b", nil)
	waitFor(f.t, "both nodes see both", func() bool { return a.FleetSize() == 2 && b.FleetSize() == 2 })
	return a, b
}

// A booking that takes long, but ends within its deadline, is answered whichever node runs it.
func TestSlowBookings(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	a, _ := f.startPair()
	f.service.SetFaults(fakeservice.Faults{Delay: 8 * time.Second})
	sendBookings(t, a, func() {})
}

// A draining node must finish the bookings that it runs for other nodes. They are not requests of its own callers.
func TestDrainFinishesBookingsOfOtherNodes(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	a, b := f.startPair()
	f.service.SetFaults(fakeservice.Faults{Delay: 8 * time.Second})
	sendBookings(t, a, func() {
		time.Sleep(time.Second) // the bookings are running
		if err := b.Drain(context.Background()); err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}
