package meshtest

import (
	"slices"
	"time"
)

// cutSlack is how long before the client has its answer the backend may have seen that its run was
// broken off.
const cutSlack = 100 * time.Millisecond

// brokenOff judges what a machine that was told to end answers in place of a backend that is at work
// on the request.
func (j *judge) brokenOff(t *Try, runs []*Run) {
	if t.End == 0 || t.Silent || t.Left || t.Answer.Status < 500 || t.Answer.Seal != "" || j.Broken {
		return
	}
	end := t.End - cutSlack
	cut := func(r *Run) bool {
		return !r.BackendEnded && r.Answer.Status == 0 && (r.Ended == 0 || r.Ended >= end) && j.unharmed(r.Machine, t.Sent, t.End)
	}
	if !slices.ContainsFunc(runs, cut) || !j.unharmed(t.Machine, t.Sent, t.End) {
		return
	}
	told := j.toldToEnd(t)
	if told == nil || t.End >= t.Sent+min(t.Within, j.Terms.GiveUp)-cutSlack {
		return
	}
	lastSixth := told.From + j.Terms.Grace*5/6
	if t.Sent <= told.From+j.Terms.EarlySent && t.End >= lastSixth {
		return
	}
	j.breach("LOST", "%s of %s, told to end at %v, was sent at %v and answered %d at %v while its backend was at work",
		t.ID, t.Machine, told.From, t.Sent, t.Answer.Status, t.End)
}

// toldToEnd is the planned end of a try's machine that began before the try ended, and was not over
// when it was sent.
func (j *judge) toldToEnd(t *Try) *Trouble {
	for _, trouble := range j.Troubles {
		if trouble.Planned && trouble.Machine == t.Machine && trouble.From <= t.End && t.Sent <= trouble.From+j.Terms.Grace+time.Second {
			return trouble
		}
	}
	return nil
}
