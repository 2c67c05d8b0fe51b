package direct

import (
	"strconv"
	"testing"

	"hawthornferry/core/request/table"
)

// Guards against a request that is answered with a closed connection because the weights of
// its route add up to a multiple of the range of the hash.
func TestServiceIsPickedWhateverTheWeights(t *testing.T) {
	for _, w := range []int{1, 1000, 1 << 31} {
		counts := map[string]int{}
		for i := range 1000 {
			counts[pickService([]table.WeightedService{{Service: "a", Weight: w}, {Service: "b", Weight: w}}, strconv.Itoa(i))]++
		}
		if counts["a"] == 0 || counts["b"] == 0 {
			t.Errorf("weights %d: requests by service %v", w, counts)
		}
	}
}
