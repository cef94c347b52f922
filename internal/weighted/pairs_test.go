package weighted

import (
	"math"
	"testing"
)

func TestPairsByHand(t *testing.T) {
	for _, c := range []struct {
		speeds, want []float64
	}{
		{[]float64{3}, nil},
		{[]float64{1, 2}, []float64{3}},                     // the only pair gets everything
		{[]float64{1, 2, 3}, []float64{2, 4}},               // bound min(2/1, 5/1) = 2, eps 1
		{[]float64{2, 2, 1, 4}, []float64{2.25, 2.25, 4.5}}, // bound min(2/1, 1/2, 5/2) = 0.5, eps 0.25
		{[]float64{4, 4, 4, 0.1}, []float64{5, 5, 2.1}},     // bound min(4, 2, 4.1/2) = 2, eps 1: the last is negative
	} {
		got := PairWeights(c.speeds, nil)
		sum := 0.0
		if len(got) != len(c.want) {
			t.Fatalf("speeds %v: %d pairs", c.speeds, len(got))
		}
		for j, w := range c.want {
			sum += w
			if math.Abs(got[j]-sum) > 1e-12 {
				t.Errorf("speeds %v: pair %d weighs %v, want %v", c.speeds, j, got.RangeSum(j, j+1), w)
			}
		}
	}
}
