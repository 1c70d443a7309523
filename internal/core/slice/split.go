// This file defines how a limit is divided among holders.

package slice

import (
	"cmp"
	"slices"
)

// allocation is the amount that one holder gets when a limit is divided.
type allocation struct {
	proc   Process
	want   Amount
	amount Amount
}

// divide divides limit among the holders by max-min fairness: in each round, all holders whose demand is not yet met get
// equal amounts. What is left over is divided equally, so that a node whose demand increases has spare capacity.
func divide(limit Amount, allocations []allocation) {
	slices.SortFunc(allocations, func(a, b allocation) int {
		return cmp.Or(cmp.Compare(a.proc.Name, b.proc.Name), cmp.Compare(a.proc.Epoch, b.proc.Epoch))
	})
	fill(limit.Streams, allocations, func(a *allocation) (int, *int) { return a.want.Streams, &a.amount.Streams })
	fill(limit.Tokens, allocations, func(a *allocation) (int, *int) { return a.want.Tokens, &a.amount.Tokens })
}

// fill divides one dimension of a limit. The function field returns that dimension of an allocation.
func fill(limit int, allocations []allocation, field func(*allocation) (want int, amount *int)) {
	for limit > 0 {
		unmet := 0
		for i := range allocations {
			if want, amount := field(&allocations[i]); *amount < want {
				unmet++
			}
		}
		if unmet == 0 {
			break
		}
		equal := max(1, limit/unmet)
		for i := range allocations {
			want, amount := field(&allocations[i])
			n := min(equal, want-*amount, limit)
			if n > 0 {
				*amount += n
				limit -= n
			}
		}
	}
	for i := range allocations {
		_, amount := field(&allocations[i])
		n := limit / (len(allocations) - i)
		*amount += n
		limit -= n
	}
}
