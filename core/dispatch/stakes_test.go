package dispatch_test

import (
	"testing"
	"time"
)

// Ten requests run at entry B, granted before a split; entry A joins a rival, which must not add to them.
func TestSplitAddsNothingAtColdEndpoint(t *testing.T) {
	b := newBench(t, 2, onePool(10, 20))
	b.join(0, 0)
	b.want(0, "a", 20)
	b.Equal(len(b.grants), 0) // Nothing is known of the endpoint.
	b.wait(window - time.Millisecond)
	b.load(4, b.now, true, 0)
	b.Equal(len(b.grants), 0) // The report may miss grants of the former holder.
	b.wait(time.Millisecond)
	b.load(10, b.now, true, 0)
	b.Equal(len(b.grants), 0) // The ten still run.
	b.wait(time.Second)
	b.load(3, b.now, true, 0)
	b.Equal(len(b.grants), 2) // Three others and two of its own make the cap of five.
	b.wait(longest + window)
	b.want(0, "a", 20)
	b.Equal(len(b.grants), 5) // All that was granted before the split has ended.
}
