package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// Full is the part of their room up to which backends that stay in use may be used by forecast.
	MaxUtilization = 0.8
	// goesOn is the part of Full below which a window that waits goes on, so that it doesn't begin and
	// wait in turn.
	goesOn = 0.9
	// tooFull is the part beyond which a step is taken back before the window's start.
	tooFull = 1.0
	// clearFor is how long nothing must be left until a window is clear.
	clearFor = time.Second
	// returnPace bounds how long a step of a return lasts.
	minReturnPace, maxReturnPace = 500 * time.Millisecond, 10 * time.Second
)

// Backend is what a core machine knows of one.
type Backend struct {
	Service, Zone, Node string
	Capacity            int     // requests that it works on at once
	Load                float64 // requests in work, on the mean of late
	Ready               bool    // it serves: it is not lost, and does not leave
}

// Share is how far a service's backends would be used.
type Share struct {
	Service string  `json:"service"`
	Load    float64 `json:"load"`  // requests in work
	Room    int     `json:"room"`  // that those which stay work on at once
	After   float64 `json:"after"` // part of their room; beyond 1 they could not bear it
}

// Forecast says how far the backends of each service would be used without a window's machines, the
// fullest first.
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
	var list []Share
	for _, s := range byService {
		switch {
		case s.Room > 0:
			s.After = s.Load / float64(s.Room)
		default:
			s.After = 2 * tooFull // also where nothing is asked for: nobody would serve it
		}
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.After, a.After), cmp.Compare(a.Service, b.Service))
	})
	return list
}

// String tells a share to people.
func (s *Share) String() string {
	if s.Room == 0 {
		return fmt.Sprintf("%s: no backend would stay in use", s.Service)
	}
	return fmt.Sprintf("%s: %.1f requests in work, and room for %d stays: %.0f%%", s.Service, s.Load, s.Room, 100*s.After)
}

// View is what the machine that leads sees.
type View struct {
	Now          time.Duration // of the mesh, since the start of 1970
	Backends     []Backend
	Remaining    int           // what is left on the machines of the window
	UnchangedFor time.Duration // since when Left is as it is, 0 or not
	Unreliable   string        // why what is seen is not to be relied on; empty: it is
}

// Decide says what is to become of a window now; nil: nothing new.
func Decide(w *Window, v *View) *Advance {
	a := &Advance{Name: w.Name, Changed: w.Changed, Phase: w.Phase, Step: w.Step, Clear: w.Clear, Waits: w.Waits}
	switch w.Phase {
	case PhasePlanned:
		decidePlanned(w, v, a)
	case PhaseDraining:
		decideMoving(w, v, a)
	case PhaseClosed:
		decideClosed(w, v, a)
	case PhaseReturning:
		decideReturning(w, v, a)
	}
	if a.Phase == w.Phase && a.Step == w.Step && a.Clear == w.Clear && a.Waits == w.Waits {
		return nil
	}
	return a
}

func decidePlanned(w *Window, v *View, a *Advance) {
	switch {
	case v.Now >= w.End:
		a.Phase, a.Ended, a.Waits = PhaseOver, "lapsed: "+cmp.Or(w.Waits, "nobody led in its time"), ""
	case v.Now < w.Start-w.Lead && !w.Begun:
	default:
		if a.Waits = hindrance(w, v); a.Waits == "" {
			a.Phase, a.Step = PhaseDraining, 1
		}
	}
}

func decideMoving(w *Window, v *View, a *Advance) {
	if endIfTime(w, v, a) || v.Now-w.Stepped < w.pace() {
		return
	}
	a.Waits = hindrance(w, v)
	switch {
	case a.Waits == "" && w.Step == LastStep-1:
		a.Phase, a.Step = PhaseClosed, LastStep
	case a.Waits == "":
		a.Step++
	case v.Unreliable == "" && v.Now < w.Start && w.Step > 1 && Forecast(w, v.Backends)[0].After > tooFull:
		a.Step-- // work has not begun: what was taken out of use helps more than it harms
	}
}

func decideClosed(w *Window, v *View, a *Advance) {
	if endIfTime(w, v, a) {
		return
	}
	switch {
	case v.Unreliable != "":
		a.Clear = false
	case v.UnchangedFor >= clearFor:
		a.Clear = v.Remaining == 0
	}
	a.Waits = hindrance(w, v)
}

func decideReturning(w *Window, v *View, a *Advance) {
	a.Clear, a.Waits = false, ""
	if v.Now-w.Stepped < min(max(w.pace(), minReturnPace), maxReturnPace) {
		return
	}
	if a.Step--; a.Step <= 0 {
		a.Step, a.Phase = 0, PhaseOver
	}
}

func endIfTime(w *Window, v *View, a *Advance) bool {
	if v.Now < w.End {
		return false
	}
	a.Phase, a.Ended, a.Clear, a.Waits = PhaseReturning, "its time is over", false, ""
	return true
}

// hindrance says why a window must not go on; empty: it may.
func hindrance(w *Window, v *View) string {
	if v.Unreliable != "" {
		return v.Unreliable
	}
	bears := MaxUtilization
	if w.Waits != "" {
		bears = goesOn * MaxUtilization
	}
	shares := Forecast(w, v.Backends)
	if len(shares) == 0 || w.Forced || shares[0].After <= bears {
		return ""
	}
	return "what stays in use would not bear the load: " + shares[0].Service
}
