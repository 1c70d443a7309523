// This file measures the size of messages between nodes on the wire, and times slices and rollouts.

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

const (
	pathSlices = "/capacity/slices"
	sliceCalls = 200
)

var (
	// sliceSizes are the numbers of servers in one request for slices.
	sliceSizes = []int{1, 4, 16}
	// userSizes are the numbers of nodes that use a server.
	userSizes = []int{2, 6, 18}
	// requestSizes are the numbers of requests that a node serves between two reports of evidence. The last one is that
	// of the target.
	requestSizes = []int{54, 108, 216}
)

// sliceRequest has the format of a node's request for slices of several servers with one owner.
type sliceRequest struct {
	Epoch   uint64             `json:"epoch"`
	Servers []sliceRequestItem `json:"servers"`
}

type sliceRequestItem struct {
	Server string `json:"server"`
	slice.Request
}

// sliceAnswer has the format of the owner's answer.
type sliceAnswer struct {
	Grants []sliceGrantItem `json:"grants"`
}

type sliceGrantItem struct {
	Server string `json:"server"`
	slice.Grant
}

// messageSamples holds the samples of slices and rollouts.
type messageSamples struct {
	sliceBytes, roundTime       *samples
	evidenceBytes, evidenceTime *samples
}

func newMessageSamples() *messageSamples {
	return &messageSamples{
		sliceBytes:    newSamples("bytes of one request for slices and its answer, headers included", "B", "servers in the message"),
		roundTime:     newSamples("one round of the owner of one server", "µs", "nodes that use the server"),
		evidenceBytes: newSamples("body of one report of a rollout's evidence", "B", "requests since the last report"),
		evidenceTime:  newSamples("merging and judging one period of a rollout's evidence", "ms", "nodes"),
	}
}

func (s *messageSamples) samples() map[Key]*samples {
	return map[Key]*samples{
		KeySliceBytes: s.sliceBytes, KeySliceRound: s.roundTime,
		KeyEvidenceBytes: s.evidenceBytes, KeyEvidenceTime: s.evidenceTime,
	}
}

func (m *measurer) measureMessages(ctx context.Context, s *messageSamples) error {
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
			s.roundTime.add(users, sliceRoundTime(users))
		}
		if err := measureEvidence(s); err != nil {
			return err
		}
	}
	return nil
}

// sliceMessageBytes returns the bytes on the wire of one request for slices of the given number of servers, with its
// answer.
func sliceMessageBytes(ctx context.Context, servers int) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var n harnessNode
	addr, err := n.listen(ctx, func(router chi.Router) {
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
	client := node.NewClient(node.Sender{Name: "entry-000", Epoch: 123456}, node.WithHTTPClient(newHTTPClient(), "http"))
	req := sliceRequest{Epoch: 123456}
	for i := range servers {
		want := slice.Request{Term: 123456, Seq: 4321, Want: slice.Amount{Streams: 48, Tokens: 123456}}
		req.Servers = append(req.Servers, sliceRequestItem{fmt.Sprintf("engine-%03d", i), want})
	}
	for range sliceCalls {
		if _, err := node.Call[sliceRequest, sliceAnswer](ctx, client, addr, pathSlices, req); err != nil {
			return 0, err
		}
	}
	return float64(n.link.bytes.Load()) / sliceCalls, nil
}

// sliceRoundTime returns the time in microseconds in which the owner of a server answers each of its users once.
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

// measureEvidence measures the size of reports of rollout evidence and the time to judge them.
func measureEvidence(s *messageSamples) error {
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
	for _, nodes := range fleetSizes {
		judge := rollout.NewJudge("v2", []string{"v1"}, falseVerdict, periods, Target.Servers/Target.Models)
		took, _ := timeOf(func() {
			all := rollout.NewEvidence()
			for range nodes {
				all.Merge(one)
			}
			judge.Add(all)
		})
		s.evidenceTime.add(nodes, milliseconds(took))
	}
	return nil
}

// nodeEvidence returns the evidence of a node for the given number of requests, over two versions, two routes and both
// load levels.
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
