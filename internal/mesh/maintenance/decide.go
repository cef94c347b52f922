package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// MaxUtilization is the highest forecast utilization of the remaining backends at which a
	// window's machines may be drained.
	MaxUtilization = 0.8
	// resumeFraction of MaxUtilization is the limit for a blocked window. The lower limit keeps a
	// window from stopping and resuming again and again.
	resumeFraction = 0.9
	// rollbackUtilization is the utilization beyond which a step is undone before the window's
	// start.
	rollbackUtilization = 1.0
	// clearAfter is how long nothing must remain on the machines until a window is clear.
	clearAfter = time.Second
	// minReturnStep and maxReturnStep bound the duration of a step while machines return to
	// service.
	minReturnStep, maxReturnStep = 500 * time.Millisecond, 10 * time.Second
)

// Backend is the information about a backend that a decision needs.
type Backend struct {
	Service, Zone, Node string
	Capacity            int     // number of requests that it handles at once
	Load                float64 // requests in progress, averaged over the last seconds
	Ready               bool    // it is in service: neither lost nor draining
}

// Share is the forecast utilization of a service's backends.
type Share struct {
	Service string  `json:"service"`
	Load    float64 `json:"load"`  // requests in progress
	Room    int     `json:"room"`  // requests that the remaining backends handle at once
	After   float64 `json:"after"` // Load divided by Room, beyond 1: overloaded; 2 if Room is 0
}

// Forecast returns the utilization of each service's backends without the machines of a window, the
// highest first.
func Forecast(w *Window, backends []Backend) []Share {
	byService := map[string]*Share{}
	for i := range backends {
		b := &backends[i]
		s := byService[b.Service]
		if s == nil {
			s = &Share{Service: b.Service}
			byService[b.Service] = s
		}
		s.Load += b.Load
		if b.Ready && !w.Covers(b.Zone, b.Node) {
			s.Room += b.Capacity
		}
	}
	var shares []Share
	for _, s := range byService {
		switch {
		case s.Room > 0:
			s.After = s.Load / float64(s.Room)
		default:
			s.After = 2 * rollbackUtilization // also without load, since no backend would serve the service
		}
		shares = append(shares, *s)
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.After, a.After), cmp.Compare(a.Service, b.Service))
	})
	return shares
}

// String describes a share to operators.
func (s *Share) String() string {
	if s.Room == 0 {
		return fmt.Sprintf("%s: no backend would remain in service", s.Service)
	}
	return fmt.Sprintf("%s: %.1f requests in progress, capacity for %d would remain: %.0f%%", s.Service, s.Load, s.Room, 100*s.After)
}

// View is the leader's current information, on which it decides about a window.
type View struct {
	Now          time.Duration // agreed mesh time, since the Unix epoch
	Backends     []Backend
	Remaining    int           // number of agents and roles still active on the window's machines
	UnchangedFor time.Duration // how long Remaining has had this value
	Unreliable   string        // why the view can't be relied on; empty if it can
}

// Decide returns the change of a window that is due, or nil if there is none.
func Decide(window *Window, view *View) *Advance {
	advance := &Advance{Name: window.Name, Changed: window.Changed, Phase: window.Phase, Step: window.Step, Clear: window.Clear, Waits: window.Waits}
	switch window.Phase {
	case PhasePlanned:
		decidePlanned(window, view, advance)
	case PhaseDraining:
		decideDraining(window, view, advance)
	case PhaseClosed:
		decideClosed(window, view, advance)
	case PhaseReturning:
		decideReturning(window, view, advance)
	}
	if advance.Phase == window.Phase && advance.Step == window.Step && advance.Clear == window.Clear && advance.Waits == window.Waits {
		return nil
	}
	return advance
}

func decidePlanned(w *Window, v *View, a *Advance) {
	switch {
	case v.Now >= w.End:
		a.Phase, a.Ended, a.Waits = PhaseOver, "lapsed: "+cmp.Or(w.Waits, "there was no leader in its time"), ""
	case v.Now < w.Start-w.Lead && !w.Begun:
	default:
		if a.Waits = blockReason(w, v); a.Waits == "" {
			a.Phase, a.Step = PhaseDraining, 1
		}
	}
}

func decideDraining(w *Window, v *View, a *Advance) {
	if endIfExpired(w, v, a) || v.Now-w.Stepped < w.stepDuration() {
		return
	}
	a.Waits = blockReason(w, v)
	switch {
	case a.Waits == "" && w.Step == LastStep-1:
		a.Phase, a.Step = PhaseClosed, LastStep
	case a.Waits == "":
		a.Step++
	case v.Unreliable == "" && v.Now < w.Start && w.Step > 1 && Forecast(w, v.Backends)[0].After > rollbackUtilization:
		a.Step-- // work has not begun, so the capacity is worth more than an early drain
	}
}

func decideClosed(w *Window, v *View, a *Advance) {
	if endIfExpired(w, v, a) {
		return
	}
	switch {
	case v.Unreliable != "":
		a.Clear = false
	case v.UnchangedFor >= clearAfter:
		a.Clear = v.Remaining == 0
	}
	a.Waits = blockReason(w, v)
}

func decideReturning(w *Window, v *View, a *Advance) {
	a.Clear, a.Waits = false, ""
	if v.Now-w.Stepped < min(max(w.stepDuration(), minReturnStep), maxReturnStep) {
		return
	}
	if a.Step--; a.Step <= 0 {
		a.Step, a.Phase = 0, PhaseOver
	}
}

func endIfExpired(w *Window, v *View, a *Advance) bool {
	if v.Now < w.End {
		return false
	}
	a.Phase, a.Ended, a.Clear, a.Waits = PhaseReturning, "its time is over", false, ""
	return true
}

// blockReason returns why a window must not progress; empty if it may.
func blockReason(w *Window, v *View) string {
	if v.Unreliable != "" {
		return v.Unreliable
	}
	limit := MaxUtilization
	if w.Waits != "" {
		limit = resumeFraction * MaxUtilization
	}
	shares := Forecast(w, v.Backends)
	if len(shares) == 0 || w.Forced || shares[0].After <= limit {
		return ""
	}
	return "what stays in use would not bear the load: " + shares[0].Service
}
