package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-chi/chi/v5"

	"ebonyferry/internal/core/rollout"
	"ebonyferry/internal/core/slice"
	"ebonyferry/internal/edge/node"
)

// This file defines the size of messages between nodes on the wire, and the timing of slices and rollouts.

const (
	pathSlices = "/capacity/slices"
	callsTimed = 200
)

var (
	// sliceSizes are the numbers of servers in one request for slices.
	sliceSizes = []int{1, 4, 16}
	// userSizes are the numbers of nodes that use one server.
	userSizes = []int{2, 6, 18}
	// requestSizes are the requests that a node serves between two reports of evidence; the last is the target's.
	requestSizes = []int{54, 108, 216}
)

// sliceRequest has the form of a node's request for slices of several servers of one owner.
type sliceRequest struct {
	Epoch   uint64             `json:"epoch"`
	Servers []sliceRequestItem `json:"servers"`
}

type sliceRequestItem struct {
	Server string `json:"server"`
	slice.Request
}

// sliceAnswer has the form of the owner's answer.
type sliceAnswer struct {
	Grants []sliceGrantItem `json:"grants"`
}

type sliceGrantItem struct {
	Server string `json:"server"`
	slice.Grant
}

// messageSamples are the figures of slices and rollouts.
type messageSamples struct {
	sliceBytes, sliceRound      *samples
	evidenceBytes, evidenceCore *samples
}

func newMessageSamples() *messageSamples {
	return &messageSamples{
		sliceBytes:    newSamples("bytes of one request for slices and its answer, headers included", "B", "servers in the message"),
		sliceRound:    newSamples("one round of the owner of one server", "µs", "nodes that use the server"),
		evidenceBytes: newSamples("body of one report of a rollout's evidence", "B", "requests since the last report"),
		evidenceCore:  newSamples("merging and judging one period of a rollout's evidence", "ms", "nodes"),
	}
}

func (s *messageSamples) samples() map[Key]*samples {
	return map[Key]*samples{
		KeySliceBytes: s.sliceBytes, KeySliceRound: s.sliceRound,
		KeyEvidenceBytes: s.evidenceBytes, KeyEvidenceCore: s.evidenceCore,
	}
}

func (m *measurer) messages(ctx context.Context, s *messageSamples) error {
	m.progress("messages of slices and rollouts")
	for range m.effort.Repeats {
		for _, servers := range sliceSizes {
			size, err := sliceMessageBytes(ctx, servers)
			if err != nil {
				return err
			}
			s.sliceBytes.add(servers, size)
		}
		for _, users := range userSizes {
			s.sliceRound.add(users, sliceRoundTime(users))
		}
		if err := evidence(s); err != nil {
			return err
		}
	}
	return nil
}

// Returns the bytes on the wire of one request for slices of so many servers and its answer.
func sliceMessageBytes(ctx context.Context, servers int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var n labNode
	ln, err := n.listen(ctx, func(router chi.Router) {
		node.Handle(router, pathSlices, func(_ context.Context, _ node.Sender, req sliceRequest) (sliceAnswer, error) {
			var answer sliceAnswer
			for _, item := range req.Servers {
				grant := slice.Grant{Term: item.Term, Seq: item.Seq + 1, Amount: item.Want, Limit: 48, TTL: slice.DefaultTiming.TTL}
				answer.Grants = append(answer.Grants, sliceGrantItem{item.Server, grant})
			}
			return answer, nil
		})
	})
	if err != nil {
		return 0, err
	}
	client := node.NewClient(node.Sender{Name: "entry-000", Epoch: 123456}, node.WithHTTPClient(plainClient(), "http"))
	req := sliceRequest{Epoch: 123456}
	for i := range servers {
		want := slice.Request{Term: 123456, Seq: 4321, Want: slice.Amount{Streams: 48, Tokens: 123456}}
		req.Servers = append(req.Servers, sliceRequestItem{fmt.Sprintf("engine-%03d", i), want})
	}
	for range callsTimed {
		if _, err := node.Call[sliceRequest, sliceAnswer](ctx, client, ln, pathSlices, req); err != nil {
			return 0, err
		}
	}
	return float64(n.wire.bytes.Load()) / callsTimed, nil
}

// Returns the time in microseconds in which the owner of a server answers each of its users once.
func sliceRoundTime(users int) float64 {
	now := time.Unix(1000, 0)
	full := slice.Amount{Streams: 64, Tokens: 1 << 20}
	o := slice.NewOwner(slice.Config{Full: full, Cold: full.Streams, Timing: slice.DefaultTiming}, 1, nil, now)
	procs := make([]slice.Process, users)
	for i := range procs {
		procs[i] = slice.Process{Name: fmt.Sprintf("entry-%03d", i)}
	}
	o.SetUsers(procs, len(procs))
	want := slice.Amount{Streams: full.Streams / users, Tokens: full.Tokens / users}
	took, _ := timeOf(func() {
		now = now.Add(time.Second)
		o.Confirm(now)
		for _, p := range procs {
			o.Request(p, slice.Request{Want: want}, now)
		}
	})
	return float64(took) / float64(time.Microsecond)
}

// Measures reports of a rollout's evidence and their judgement.
func evidence(s *messageSamples) error {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, requests := range requestSizes {
		data, err := json.Marshal(nodeEvidence(rng, requests).Report())
		if err != nil {
			return err
		}
		s.evidenceBytes.add(requests, float64(len(data)))
	}
	one := nodeEvidence(rng, requestSizes[len(requestSizes)-1])
	const falseVerdict, periods = 0.001, 1800
	for _, nodes := range coreSizes {
		judge := rollout.NewJudge("v2", []string{"v1"}, falseVerdict, periods, Target.Servers/Target.Models)
		took, _ := timeOf(func() {
			all := rollout.NewEvidence()
			for range nodes {
				all.Merge(one)
			}
			judge.Add(all)
		})
		s.evidenceCore.add(nodes, milliseconds(took))
	}
	return nil
}

// Returns what a node sees of two versions on two routes and at both load levels in so many requests.
func nodeEvidence(rng *rand.Rand, requests int) rollout.Evidence {
	e := rollout.NewEvidence()
	for range requests {
		k := rollout.Key{Version: "v1", Route: "/v1/chat/completions", Load: rollout.LoadLow}
		if rng.IntN(10) == 0 {
			k.Version = "v2"
		}
		if rng.IntN(3) == 0 {
			k.Route = "/v1/completions"
		}
		if rng.IntN(3) == 0 {
			k.Load = rollout.LoadHigh
		}
		e.AddFirstToken(k, time.Duration(rng.ExpFloat64()*float64(400*time.Millisecond)))
		e.AddTokenGap(k, time.Duration(rng.ExpFloat64()*float64(30*time.Millisecond)))
		e.AddOutcome(k, rng.IntN(500) == 0)
	}
	return e
}
