package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/edge/node"
)

// namesDigest is a digest of the names of nodes.
type namesDigest struct {
	self     string
	isActive bool
	received map[string][]string
}

var errNoNames = errors.New("no list of names")

func (d *namesDigest) active(time.Time) bool { return d.isActive }

func (d *namesDigest) sum(include func(string) bool, _ time.Time) any {
	names := []string{d.self}
	for from, list := range d.received {
		if include(from) {
			names = append(names, list...)
		}
	}
	return names
}

func (d *namesDigest) receive(from string, data json.RawMessage, _ time.Time) error {
	var names []string
	if json.Unmarshal(data, &names) != nil {
		return errNoNames
	}
	d.received[from] = names
	return nil
}

func (d *namesDigest) retain(keep func(string) bool) {
	for from := range d.received {
		if !keep(from) {
			delete(d.received, from)
		}
	}
}

// known returns the sorted names that a node knows, its own included.
func (d *namesDigest) known() []string {
	names := d.sum(func(string) bool { return true }, time.Time{}).([]string)
	slices.Sort(names)
	return names
}

// startDigests starts a fleet whose nodes exchange their names.
func startDigests(ctx context.Context, nodes int, active bool) (*fakeFleet, []*namesDigest) {
	f := startFleet(ctx, nodes, 1)
	list := make([]*namesDigest, nodes)
	for i, rt := range f.nodes {
		list[i] = &namesDigest{self: nodeName(i), isActive: active, received: make(map[string][]string)}
		rt.digests["names"] = list[i]
	}
	for i, rt := range f.nodes {
		client := node.NewClient(node.Sender{Name: nodeName(i)}, node.WithHTTPClient(&http.Client{Transport: f}, "http"))
		go func() { _ = rt.ExchangeDigests(ctx, client) }()
	}
	return f, list
}

// Guards against digests that are lost or counted twice on their way through hubs.
func TestDigestsReachEveryNodeOnce(t *testing.T) {
	for _, nodes := range []int{3, 40} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer time.Sleep(time.Second) // lets the nodes stop
			defer cancel()
			f, list := startDigests(ctx, nodes, true)
			time.Sleep(4 * digestPeriod)
			var want []string
			for i := range nodes {
				want = append(want, nodeName(i))
			}
			slices.Sort(want)
			for i, rt := range f.nodes {
				rt.mu.Lock()
				got := list[i].known()
				rt.mu.Unlock()
				if !slices.Equal(got, want) {
					t.Errorf("%d nodes, node %d: got %v, want %v", nodes, i, got, want)
				}
			}
		})
	}
}

// Guards against messages of kinds that no deployment uses.
func TestInactiveDigestsAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second) // lets the nodes stop
		defer cancel()
		f, list := startDigests(ctx, 3, false)
		time.Sleep(4 * digestPeriod)
		for i, rt := range f.nodes {
			rt.mu.Lock()
			got := list[i].known()
			rt.mu.Unlock()
			if want := []string{nodeName(i)}; !slices.Equal(got, want) {
				t.Errorf("node %d: got %v, want %v", i, got, want)
			}
		}
	})
}

// Guards against a malformed digest that ends a node or replaces what it knows, and against kinds of later versions.
func TestOddDigestsChangeNothing(t *testing.T) {
	rt := newRuntime(&fakeUpstream{})
	names := &namesDigest{self: "n1", isActive: true, received: map[string][]string{"n2": {"n2"}}}
	rt.digests["names"] = names
	rt.receiveDigests("n2", map[string]json.RawMessage{"names": json.RawMessage(`{"a":1}`), "later": json.RawMessage(`[1]`)})
	if got, want := names.known(), []string{"n1", "n2"}; !slices.Equal(got, want) {
		t.Errorf("names: got %v, want %v", got, want)
	}
	if _, err := rt.handleDigests(context.Background(), node.Sender{Name: hubEntry}, digestMessage{}); err == nil {
		t.Error("a node with the name of the hub's entry: got no error")
	}
}
