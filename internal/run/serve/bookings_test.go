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

// This file tests bookings that another node than the caller's runs.

// Enough bookings that some fall to each of two nodes.
const bookings = 8

// Sends bookings to a node at once and fails the test unless the service's answer comes to each.
func book(t *testing.T, n *serve.Node, meanwhile func()) {
	t.Helper()
	var group sync.WaitGroup
	for i := range bookings {
		group.Go(func() {
			status, body, err := bookOne(n, fmt.Sprint("booking", i))
			if err != nil || status != http.StatusCreated {
				t.Errorf("booking %d: got status %d, body %s, error %v; want %d", i, status, body, err, http.StatusCreated)
			}
		})
	}
	meanwhile()
	group.Wait()
}

func bookOne(n *serve.Node, id string) (int, string, error) {
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

// Starts two nodes that know each other.
func (w *world) pair() (a, b *serve.Node) {
	a, b = w.node("a", nil), w.node("b", nil)
	waitFor(w.t, "both nodes see both", func() bool { return a.FleetSize() == 2 && b.FleetSize() == 2 })
	return a, b
}

// A booking that takes long within its deadline is answered whichever node runs it.
func TestSlowBookings(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	a, _ := w.pair()
	w.service.SetFaults(fakeservice.Faults{Delay: 8 * time.Second})
	book(t, a, func() {})
}

// A node that drains finishes the bookings that it runs for other nodes.
func TestDrainFinishesBookingsOfOtherNodes(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	a, b := w.pair()
	w.service.SetFaults(fakeservice.Faults{Delay: 8 * time.Second})
	book(t, a, func() {
		time.Sleep(time.Second) // the bookings are under way
		if err := b.Drain(context.Background()); err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}
