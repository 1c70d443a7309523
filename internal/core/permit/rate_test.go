package permit

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// ms returns the time n milliseconds after start.
func ms(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

func TestObserveOrdersAnswersThatOvertakeEachOther(t *testing.T) {
	tests := []struct {
		name    string
		answers []Rate
		want    float64
	}{
		{"none", []Rate{{0, ms(0), ms(10)}}, 0},
		{"named", []Rate{{4, ms(0), ms(10)}}, 4},
		{"ended", []Rate{{4, ms(0), ms(10)}, {0, ms(11), ms(20)}}, 0},
		{"answer without a rate to an earlier request", []Rate{{4, ms(0), ms(10)}, {0, ms(5), ms(20)}}, 4},
		{"changed", []Rate{{4, ms(0), ms(10)}, {9, ms(5), ms(20)}}, 9},
		{"older rate that arrives late", []Rate{{4, ms(5), ms(10)}, {9, ms(0), ms(20)}}, 4},
		{"named again after its end", []Rate{{4, ms(0), ms(10)}, {0, ms(11), ms(20)}, {5, ms(30), ms(40)}}, 5},
		{"named before its end, as another node reports", []Rate{{4, ms(0), ms(10)}, {0, ms(11), ms(20)}, {4, ms(0), ms(10)}}, 0},
		{"named by an answer that arrives after the end", []Rate{{4, ms(0), ms(10)}, {0, ms(11), ms(20)}, {5, ms(5), ms(40)}}, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r Rate
			for _, a := range tt.answers {
				r.Observe(a)
			}
			if got := r.PerSecond; got != tt.want {
				t.Errorf("rate: got %v, want %v", got, tt.want)
			}
		})
	}
}
