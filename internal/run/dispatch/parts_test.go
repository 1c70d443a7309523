package dispatch_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ebonyferry/internal/edge/caller"
)

// offerPrefix offers the i-th of different requests whose prompts begin with the same text, and returns its slot or the
// reason for its refusal.
func (p *pair) offerPrefix(t *testing.T, name, prefix string, i int) (caller.Slot, string) {
	t.Helper()
	slot, err := p.nodes[name].Acquire(p.ctx, caller.Work{
		Account: "x", Model: "m", Prompt: strings.Repeat(prefix+" ", 200) + fmt.Sprint(i), PromptTokens: 200, MaxTokens: 50, Fingerprint: uint64(1000 + i),
	})
	var r *caller.Refusal
	if errors.As(err, &r) {
		return nil, r.Reason
	}
	if err != nil {
		t.Fatal(err)
	}
	return slot, ""
}

// Requests at different nodes that share a prefix and crash each server must be refused at all nodes, without the requests
// that share none. An answer that any node has seen since the first crash shows that the prefix crashes no server.
func TestPrefixThatCrashesServersIsRefusedAtAllNodes(t *testing.T) {
	tests := []struct {
		name     string
		answered bool // node b answers a request with the prefix between the crashes, without a message to a
		want     string
	}{
		{"no answer", false, caller.ReasonQuarantined},
		{"an answer at another node", true, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := startPair(t)
				time.Sleep(2 * time.Second)
				for i, name := range []string{"a", "b", "a"} {
					slot, reason := p.offerPrefix(t, name, "crashing", i)
					if slot == nil {
						t.Fatalf("request %d: got refusal %q, want none", i, reason)
					}
					slot.RecordToken(0)
					slot.Done(caller.OutcomeInterrupted)
					time.Sleep(10 * time.Second)
					if i == 1 && tt.answered {
						sound, _ := p.offerPrefix(t, "b", "crashing", 50)
						sound.RecordToken(0)
						sound.Done(caller.OutcomeFinished)
					}
				}
				synctest.Wait()
				for i, name := range []string{"a", "b"} {
					slot, got := p.offerPrefix(t, name, "crashing", 60+i)
					if got != tt.want {
						t.Errorf("node %s, a new request with the prefix: got refusal %q, want %q", name, got, tt.want)
					}
					if slot != nil {
						slot.Done(caller.OutcomeCanceled)
					}
					other, got := p.offerPrefix(t, name, "sound", 70+i)
					if got != "" {
						t.Fatalf("node %s, a request with another prefix: got refusal %q, want none", name, got)
					}
					other.Done(caller.OutcomeCanceled)
				}
				if !tt.answered {
					p.release(t, "b")
					if _, got := p.offerPrefix(t, "a", "crashing", 80); got != "" {
						t.Errorf("after the release at the other node: got refusal %q, want none", got)
					}
				}
			})
		})
	}
}
