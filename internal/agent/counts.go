package agent

import (
	"net/http"
	"time"
)

// counts are the requests since the start, by how they ended.
type counts struct {
	requests, inAim, served, refused, failed, clientGone int64
	byLevel                                              int64 // of the refused, those that came to no module

	classes []classCounts
	causes  map[cause]int64 // of refusals and failures: as many as there are classes and outcomes
}

// classCounts are the requests of a class by what their clients got.
type classCounts struct{ served, refused, failed int64 }

func newCounts(classes int) counts {
	return counts{classes: make([]classCounts, classes), causes: map[cause]int64{}}
}

// cause is why a request was refused or failed.
type cause struct {
	refused bool
	class   int
	reason  string
}

// end counts the end of a request.
func (c *counts) end(r *request, status int, now, aim time.Duration) {
	of := &c.classes[r.class]
	switch status {
	case http.StatusOK:
		c.served++
		of.served++
		if now-r.startedAt <= aim {
			c.inAim++
		}
		return
	case statusRefused:
		c.refused++
		of.refused++
	default:
		c.failed++
		of.failed++
	}
	why := "no room" // nothing was sent for it
	switch {
	case r.refusedBy != "":
		why = r.refusedBy
	case len(r.attemptCancels) > 0:
		why = r.last.String()
	}
	c.causes[cause{status == statusRefused, r.class, why}]++
}

// broke counts a request as failed that was counted as served when its answer began.
func (c *counts) recordBrokenAnswer(class int) {
	c.served--
	c.classes[class].served--
	c.failed++
	c.classes[class].failed++
	c.causes[cause{false, class, "answer broken"}]++
}

// turnAway counts a request that was refused before the loop saw it.
func (c *counts) recordOverloadRefusal(class int) {
	c.requests++
	c.refused++
	c.classes[class].refused++
	c.causes[cause{true, class, "turned away at the door"}]++
}
