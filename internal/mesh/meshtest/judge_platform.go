package meshtest

import (
	"maps"
	"strings"
	"time"
)

// mostOff is by how much a tenant's count may be off, beside a twentieth: a run that begins as one
// window ends may be in either.
const mostOff = 2

// platform judges what the platform got: a window has one count, a fence one holder, and no duty goes
// to another machine and back within a lease.
func (j *judge) platform() {
	counts, fences := map[int64]map[string]uint64{}, map[uint64]string{}
	var accepted []*UsageCall
	for _, c := range j.Reports {
		if by, known := fences[c.Fence]; known && by != c.Holder {
			j.breach("ONE", "%s and %s sent fence %d", by, c.Holder, c.Fence)
		}
		fences[c.Fence] = c.Holder
		if !c.Accepted {
			continue
		}
		if before, known := counts[c.Window]; known && !maps.Equal(before, c.Counts) {
			j.breach("ONE", "window %d was reported as %v and as %v", c.Window, before, c.Counts)
		}
		counts[c.Window] = c.Counts
		accepted = append(accepted, c)
	}
	for i, last := range accepted {
		between := ""
		for k := i - 1; k >= 0 && last.At-accepted[k].At <= j.Terms.Lease; k-- {
			switch c := accepted[k]; {
			case c.Holder != last.Holder && j.calm(c.Holder, c.At, c.At):
				between = c.Holder
			case c.Holder == last.Holder && between != "" && j.calm(c.Holder, c.At, last.At):
				j.breach("ONE", "%s, %s and %s again acted from %v to %v", c.Holder, between, c.Holder, c.At, last.At)
			}
		}
	}
}

// usage judges the reports of windows around which nothing was in trouble: each is there in time, and
// says what backends began.
func (j *judge) usage() {
	if j.Tenants == 0 || len(j.Reports) == 0 {
		return
	}
	truth := map[int64]map[string]uint64{}
	for _, r := range j.Runs {
		if strings.Contains(r.Try, ".") {
			continue // what a backend calls is no usage of its tenant
		}
		window := j.Began.Add(r.Began).UnixNano() / int64(j.Terms.Window)
		if truth[window] == nil {
			truth[window] = map[string]uint64{}
		}
		truth[window][r.Customer]++
	}
	reports := map[int64]*UsageCall{}
	for _, c := range j.Reports {
		if c.Accepted && reports[c.Window] == nil {
			reports[c.Window] = c
		}
	}
	end := j.Reports[len(j.Reports)-1].At
	for window, tenants := range truth {
		from := time.Duration(window*int64(j.Terms.Window) - j.Began.UnixNano())
		due := from + j.Terms.Window + j.Terms.UsageDelay
		if from < j.Reports[0].At || due > end || j.troubled(from-j.Terms.InTouch, due) {
			continue
		}
		c := reports[window]
		if c == nil || c.At > due {
			j.breach("USAGE", "window %d, from %v, has no report by %v", window, from, due)
			continue
		}
		for name, n := range tenants {
			off := max(n, c.Counts[name]) - min(n, c.Counts[name])
			if off > mostOff+n/20 {
				j.breach("USAGE", "window %d, from %v, says %d of %s, and %d began", window, from, c.Counts[name], name, n)
			}
		}
	}
}

// troubled says whether anything was in trouble between two moments.
func (j *judge) troubled(from, until time.Duration) bool {
	for _, t := range j.Troubles {
		if t.overlaps(from, until) {
			return true
		}
	}
	return false
}
