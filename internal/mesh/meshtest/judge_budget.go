package meshtest

// What the pages let pass of each kind before a rule is broken.
const (
	mostOverTries = 3  // requests that ran on more backends than their route's tries
	mostOverTime  = 20 // runs that were told more time than there was
	leastGivenUp  = 8  // requests that were under way at their route's give_up
)

// budgets judges on how many backends a request runs, and how much time they are told to have.
func (j *judge) budgets(tries []*Try, runs map[string][]*Run) {
	overTries, overTime, told, last := 0, 0, 0, ""
	for _, t := range tries {
		on := map[string]bool{}
		for _, r := range runs[t.ID] {
			if j.calm(r.Machine, t.Sent, t.End) { // danger: who ended or was cut off meanwhile doesn't count
				on[r.Backend] = true
			}
			if t.Within == 0 || !j.calm(t.Machine, t.Sent, r.Began) {
				continue
			}
			told++
			if r.Within == 0 || r.Within > t.Within+j.Terms.Beyond || j.isLateRepeat(runs[t.ID], r) && j.endsBeyond(t, runs[t.ID], r) {
				overTime++
				last = t.ID
			}
		}
		if len(on) > j.Terms.Tries {
			overTries++
			last = t.ID
		}
	}
	if overTries > mostOverTries {
		j.breach("BUDGET", "%d requests ran on more than %d backends, the last of them %s", overTries, j.Terms.Tries, last)
	}
	if overTime > mostOverTime && 5*overTime > told {
		j.breach("BUDGET", "of %d runs %d were told more time than there was, the last of them for %s", told, overTime, last)
	}
}

// isLateRepeat says whether a run began longer after the request's first than the bound.
func (j *judge) isLateRepeat(all []*Run, r *Run) bool { return r.Began > all[0].Began+j.Terms.Beyond }

// endsBeyond says whether the time that a run was told ends later by the bound than the first run's and
// the client's.
func (j *judge) endsBeyond(t *Try, all []*Run, r *Run) bool {
	return r.Began+r.Within > max(all[0].Began+all[0].Within, t.Sent+t.Within)+j.Terms.Beyond
}

// givenUp judges whether what is under way at its route's give_up is answered then.
func (j *judge) givenUp(tries []*Try) {
	if j.Broken {
		return // a link may hold the answer up
	}
	under, unanswered, last := 0, 0, ""
	for _, t := range tries {
		bound := t.Sent + j.Terms.GiveUp
		left := t.Left && t.End < bound+j.Terms.Beyond
		if t.Within < j.Terms.GiveUp+j.Terms.Beyond || left || t.End > 0 && t.End <= bound || !j.calm(t.Machine, t.Sent, bound+j.Terms.Beyond) {
			continue
		}
		under++
		if t.End == 0 || t.End > bound+j.Terms.Beyond || t.Answer.Status == 0 {
			unanswered++
			last = t.ID
		}
	}
	if under >= leastGivenUp && 4*unanswered > under {
		j.breach("CONFIG", "of %d requests that were under way at their give_up %d had no answer %v later, the last of them %s",
			under, unanswered, j.Terms.Beyond, last)
	}
}
