// This file times admission, length prediction and the ledger.

package capacity

import (
	"fmt"
	"time"

	"ebonyferry/internal/core/admission"
	"ebonyferry/internal/core/bundle"
	"ebonyferry/internal/core/ledger"
	"ebonyferry/internal/core/length"
)

// streamSizes are the numbers of running streams on a node at which its decisions are timed. The last one is about that
// of the target: 2.5 M tokens per second with 74 ms between tokens are 185,000 streams on 330 nodes.
var streamSizes = []int{64, 256, 560}

// callRates are the rates of calls in one ledger partition, per second.
var callRates = []int{1, 4, 16}

const (
	serversPerNode = 11 // 600 servers, each used by 6 of 330 nodes
	answerTokens   = 300
	answerBytes    = 200
)

// decideTime returns the time in microseconds of all decisions about one request on a node with the given number of
// streams. It fails if a request was not granted, since a refusal costs less.
func decideTime(streams int) (float64, error) {
	b, k := documents(serversPerNode, 40, 0)
	for i := range b.Servers {
		b.Servers[i].MaxStreams = streams
		b.Servers[i].ColdStreams = streams
		b.Servers[i].Models = []bundle.ModelVersion{{Model: "model-0", Version: "v1"}}
	}
	s := admission.New("n", admission.NewStaticBudgets(b.Servers, 1, 0))
	s.Configure(bundle.NewInForce(bundle.Head{}, b, k), 1, 0)
	now := time.Unix(1000, 0)
	offer := func(i int) *admission.Ticket {
		t := s.Offer(admission.Work{
			Account: fmt.Sprintf("account-%04d", i%40), Model: "model-0", PromptTokens: 100, Fingerprint: uint64(i),
			Progress: func() int { return answerTokens / 2 },
		}, now)
		s.Poll(now)
		return t
	}
	running := make([]*admission.Ticket, streams)
	for i := range running {
		running[i] = offer(i)
	}
	next, refused := 0, 0
	took, _ := timeOf(func() {
		now = now.Add(time.Second / 36) // 12,000 requests per second on 330 nodes
		t := running[next%streams]
		if t.Server == "" {
			refused++
		}
		s.RecordFirstToken(t, now)
		s.Done(t, admission.Finished, answerTokens, now)
		running[next%streams] = offer(next)
		next++
	})
	if refused > 0 {
		return 0, fmt.Errorf("%d of %d requests were not granted: %+v", refused, next, running[0].Refusal)
	}
	return float64(took) / float64(time.Microsecond), nil
}

// predictorMemory returns the memory of a length predictor with data of the given number of accounts, in bytes.
func predictorMemory(accounts int) float64 {
	before := heapInUse()
	p := length.New()
	for i := range accounts {
		for _, class := range []string{"quick", "narrative"} {
			series := p.Series(length.Key{Account: fmt.Sprintf("account-%04d", i), Class: class, Model: "model-0"})
			for n := range 20 {
				series.Observe(answerTokens * (n + 1) / 10)
			}
		}
	}
	used := heapInUse() - before
	if p.Len() == 0 { // never; it keeps p reachable for heapInUse
		return 0
	}
	return float64(used)
}

// measureLedger runs one ledger partition in virtual time and measures its writes.
func (m *measurer) measureLedger(s *decisionSamples, calls int) {
	const (
		seconds = 120
		tick    = 100 * time.Millisecond // minimum time between two writes of a partition
	)
	p := ledger.NewPartition(0, ledger.DefaultLimits)
	start := time.Unix(1000, 0).UTC()
	var writes, bytes, made, ended int
	began := time.Now()
	for step := range seconds * int(time.Second/tick) {
		now := start.Add(time.Duration(step) * tick)
		var batch []ledger.Record
		due := int(float64(calls) * float64(step+1) * tick.Seconds())
		for ; made < due; made++ {
			batch = append(batch, callRecord(made, ledger.StateIntent, now))
		}
		for ; ended < due-calls; ended++ { // each call takes a second
			batch = append(batch, callRecord(ended, ledger.StateDone, now))
		}
		if len(batch) == 0 {
			continue
		}
		plan := p.Prepare(ledger.Head{Nonce: "n"}, batch, now)
		p.Commit(plan, now)
		writes++
		bytes += len(ledger.Encode(plan.Head))
		if work, due := p.NextMaintenance(fmt.Sprint(step), now); due {
			plan := p.PrepareMaintenance(work, ledger.Head{Nonce: "n"})
			p.CommitMaintenance(work, plan)
			writes += 2 + len(plan.Dropped)
			bytes += len(ledger.Encode(plan.Head)) + len(ledger.Encode(work.Segment))
		}
	}
	s.ledgerCPU.add(calls, milliseconds(time.Since(began))/seconds)
	s.ledgerWrites.add(calls, float64(writes)/seconds)
	s.ledgerBytes.add(calls, float64(bytes)/seconds)
}

func callRecord(i int, state ledger.State, at time.Time) ledger.Record {
	r := ledger.Record{
		ID:            ledger.NewID("account", "bookings", fmt.Sprint(i)),
		RequestDigest: ledger.RequestDigest("POST", "/bookings", "application/json", nil),
		State:         state, RunID: "run", IntentAt: at,
	}
	if state == ledger.StateDone {
		r.Answer = &ledger.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, answerBytes)}
	}
	return r
}
