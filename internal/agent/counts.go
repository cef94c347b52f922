package agent

import (
	"net/http"
	"time"
)

// counts holds the number of requests since the start, by how they ended.
type counts struct {
	// inAim is the part of served that was in time for its target latency.
	requests, inAim, served, refused, failed, clientGone int64
	refusedByLevel                                       int64 // part of refused: by the service level

	classes []classCounts
	causes  map[cause]int64 // of refusals and failures; the reasons of a class are a small fixed set
}

// classCounts holds the number of requests of one class by their answer.
type classCounts struct{ served, refused, failed int64 }

func newCounts(classes int) counts {
	return counts{classes: make([]classCounts, classes), causes: map[cause]int64{}}
}

// cause is the reason why a request was refused or failed.
type cause struct {
	refused bool
	class   int
	reason  string
}

// recordEnd counts an answered request.
func (c *counts) recordEnd(r *request, status int, now, aim time.Duration) {
	classTotals := &c.classes[r.class]
	switch status {
	case http.StatusOK:
		c.served++
		classTotals.served++
		if now-r.startedAt <= aim {
			c.inAim++
		}
		return
	case statusRefused:
		c.refused++
		classTotals.refused++
	default:
		c.failed++
		classTotals.failed++
	}
	reason := "no room" // default: no attempt was made
	switch {
	case r.refusalReason != "":
		reason = r.refusalReason
	case len(r.attemptCancels) > 0:
		reason = r.lastOutcome.String()
	}
	c.causes[cause{status == statusRefused, r.class, reason}]++
}

// recordBrokenAnswer counts a request as failed that was counted as served when its streamed answer
// began.
func (c *counts) recordBrokenAnswer(class int) {
	c.served--
	c.classes[class].served--
	c.failed++
	c.classes[class].failed++
	c.causes[cause{false, class, "answer broken"}]++
}

// recordOverloadRefusal counts a request that was refused before it reached the loop.
func (c *counts) recordOverloadRefusal(class int) {
	c.requests++
	c.refused++
	c.classes[class].refused++
	c.causes[cause{true, class, "turned away at the door"}]++
}
