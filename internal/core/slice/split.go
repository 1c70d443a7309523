package slice

import (
	"cmp"
	"slices"
)

// This file defines how a limit is divided.

// part is one holder's part while a limit is divided.
type part struct {
	proc Process
	want Amount
	give Amount
}

// Divides limit among parts: first towards what they want, the same for all until one has enough, then what
// is left over in equal parts, so that a node whose demand rises finds something in hand.
func divide(limit Amount, parts []part) {
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(a.proc.Name, b.proc.Name), cmp.Compare(a.proc.Epoch, b.proc.Epoch))
	})
	fill(limit.Streams, parts, func(p *part) (int, *int) { return p.want.Streams, &p.give.Streams })
	fill(limit.Tokens, parts, func(p *part) (int, *int) { return p.want.Tokens, &p.give.Tokens })
}

func fill(limit int, parts []part, of func(*part) (want int, give *int)) {
	for limit > 0 {
		hungry := 0
		for i := range parts {
			if want, give := of(&parts[i]); *give < want {
				hungry++
			}
		}
		if hungry == 0 {
			break
		}
		share := max(1, limit/hungry)
		for i := range parts {
			want, give := of(&parts[i])
			n := min(share, want-*give, limit)
			if n > 0 {
				*give += n
				limit -= n
			}
		}
	}
	for i := range parts {
		_, give := of(&parts[i])
		n := limit / (len(parts) - i)
		*give += n
		limit -= n
	}
}
