package limit

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Requests in flight together are late together and lower the limit once.
func TestLateTogetherIsOneSign(t *testing.T) {
	var c ConcurrencyLimit
	for i := range 5 {
		c.OnAnswer(1.2, 5, time.Duration(i)*ms, 900*ms)
	}
	want := float64(initialLimit * decreaseFactor)
	if got := c.Current(); math.Abs(got-want) > 1e-9 {
		t.Errorf("limit %v after five late answers of one burst, want %v", got, want)
	}
	if c.OnAnswer(1.2, 5, 901*ms, 1800*ms); c.Current() >= want {
		t.Errorf("limit %v though a request sent since is late again", c.Current())
	}
}

// Answers with few requests in flight do not raise a limit that is far higher.
func TestUnusedLimitStays(t *testing.T) {
	var c ConcurrencyLimit
	for range 100 {
		c.OnAnswer(0.1, 1, 0, ms)
	}
	if got := c.Current(); got != initialLimit {
		t.Errorf("limit %v was raised by single requests", got)
	}
}

func TestLimitKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c ConcurrencyLimit
		now := time.Duration(0)
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms
			before := c.Current()
			if rapid.Bool().Draw(t, "silent") {
				c.OnCongestion(now-100*ms, now)
			} else {
				c.OnAnswer(rapid.Float64Range(0, 3).Draw(t, "part"), rapid.IntRange(0, 400).Draw(t, "out"), now-100*ms, now)
			}
			got := c.Current()
			if !(got >= minLimit && got <= maxLimit) || math.IsNaN(got) {
				t.Fatalf("limit %v", got)
			}
			if got < before*decreaseFactor-1e-9 && got != minLimit {
				t.Fatalf("limit from %v to %v in one step", before, got)
			}
		}
	})
}

// Callers that share one server, and see only their own requests, converge to similar shares of its
// capacity, whichever came first. The server is a queue: latency is proportional to the requests in
// it.
func TestCallersShare(t *testing.T) {
	const capacity = 24.0 // requests that it answers within the target latency
	callers := make([]ConcurrencyLimit, 3)
	callers[0].limit = 60
	now := time.Duration(0)
	var sums [3]float64
	for step := range 4000 {
		inFlight := 0.0
		for i := range callers {
			inFlight += math.Floor(callers[i].Current())
		}
		took := time.Duration(inFlight/capacity*500) * ms
		for i := range callers {
			callers[i].OnAnswer(inFlight/capacity, int(callers[i].Current()), now, now+took)
			if step >= 2000 {
				sums[i] += callers[i].Current()
			}
		}
		now += took
	}
	total := sums[0] + sums[1] + sums[2]
	for i, s := range sums {
		if share := s / total; share < 0.25 || share > 0.42 {
			t.Errorf("caller %d has %.2f of the limits", i, share)
		}
	}
	if mean := total / 2000; mean < 0.4*congestedRatio*capacity || mean > 1.2*capacity {
		t.Errorf("together they have %.1f requests in flight, with a capacity of %.1f", mean, capacity)
	}
}

func TestBudget(t *testing.T) {
	var b RetryBudget
	for i := range 20 {
		b.AddRequest(time.Duration(i) * ms)
	}
	for i := range 5 { // the floor of 1 and a fifth of 20
		if !b.Allows(20*ms, time.Second, 1, 0.2) {
			t.Fatalf("retry %d is not allowed", i)
		}
		b.AddRetry(20 * ms)
	}
	if b.Allows(20*ms, time.Second, 1, 0.2) {
		t.Error("a sixth retry is allowed for 20 requests")
	}
	if !b.Allows(1021*ms, time.Second, 1, 0.2) {
		t.Error("retries older than the window still count")
	}
}

// A RetryBudget keeps a bounded number of timestamps. Dropping the oldest makes it allow less.
func TestBudgetIsBounded(t *testing.T) {
	var b RetryBudget
	for i := range 10 * maxTimestamps {
		b.AddRequest(time.Duration(i))
	}
	if len(b.requests) > maxTimestamps {
		t.Errorf("%d timestamps are kept", len(b.requests))
	}
	if got := b.RequestsSince(0); got > 10*maxTimestamps || got < maxTimestamps/2 {
		t.Errorf("%d requests are counted", got)
	}
}
