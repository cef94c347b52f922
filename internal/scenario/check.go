package scenario

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// check returns what is wrong, with the field's path as it would be written in Go.
func (s *Scenario) check() *Error {
	bad := func(field, format string, args ...any) *Error {
		return &Error{Field: field, What: fmt.Sprintf(format, args...)}
	}
	fraction := func(v float64) bool { return v >= 0 && v <= 1 }
	finite := func(v float64) bool { return v >= 0 && v <= 1e6 && !math.IsNaN(v) }
	switch {
	case s.Name == "" || strings.ContainsAny(s.Name, "/ \\"):
		return bad("name", "%q is no name", s.Name)
	case s.For <= 0 || s.For > Duration(24*time.Hour):
		return bad("for", "%v is not between 0 and 24 h", s.For.D())
	case s.Agents < 1 || s.Agents > 1000:
		return bad("agents", "%d is not between 1 and 1000", s.Agents)
	case s.Net.Delay < 0 || s.Net.Delay > Duration(time.Second):
		return bad("net.delay", "%v is not between 0 and 1 s", s.Net.Delay.D())
	case s.Net.Jitter < 0 || s.Net.Jitter > Duration(time.Second):
		return bad("net.jitter", "%v is not between 0 and 1 s", s.Net.Jitter.D())
	case s.Clients.Retries < 0 || s.Clients.Retries > 10:
		return bad("clients.retries", "%d is not between 0 and 10", s.Clients.Retries)
	case s.Clients.Backoff <= 0:
		return bad("clients.backoff", "must be above 0")
	case !(s.Clients.TryShare > 0 && s.Clients.TryShare <= 1):
		return bad("clients.try_share", "%v is not between 0 and 1", s.Clients.TryShare)
	case !fraction(s.Clients.Honour):
		return bad("clients.honour", "%v is no share", s.Clients.Honour)
	case !fraction(s.Clients.HangUp):
		return bad("clients.hang_up", "%v is no share", s.Clients.HangUp)
	case !(s.Clients.Rude >= 0 && s.Clients.Rude <= 10):
		return bad("clients.rude", "%v is not between 0 and 10", s.Clients.Rude)
	case !(s.Clients.Skew >= 1 && s.Clients.Skew <= 1000):
		return bad("clients.skew", "%v is not between 1 and 1000", s.Clients.Skew)
	case s.Discovery.Lines < 0:
		return bad("discovery.lines", "%d is below 0", s.Discovery.Lines)
	case s.Discovery.Mode != "push" && s.Discovery.Mode != "ask":
		return bad("discovery.mode", "%q is neither push nor ask", s.Discovery.Mode)
	case s.Discovery.Notice < 0:
		return bad("discovery.notice", "must not be below 0")
	case !(s.Limits.ProbePrice >= 0 && s.Limits.ProbePrice <= 1):
		return bad("limits.probe_price", "%v is not between 0 and 1", s.Limits.ProbePrice)
	case !fraction(s.Limits.CrossPrice):
		return bad("limits.cross_price", "%v is not between 0 and 1", s.Limits.CrossPrice)
	case s.Limits.MaxAttempts < 1 || s.Limits.MaxAttempts > 100:
		return bad("limits.max_attempts", "%d is not between 1 and 100", s.Limits.MaxAttempts)
	case s.Limits.ConnectTimeout <= 0:
		return bad("limits.connect_timeout", "must be above 0")
	case !slices.Contains([]string{"probe", "answers", "none"}, s.Limits.Reports):
		return bad("limits.reports", "%q is none of probe, answers, none", s.Limits.Reports)
	case s.Limits.PeerDelay < 0 || s.Limits.PeerDelay > Duration(time.Minute):
		return bad("limits.peer_delay", "%v is not between 0 and 1 min", s.Limits.PeerDelay.D())
	case !fraction(s.Limits.PeerLoss):
		return bad("limits.peer_loss", "%v is no share", s.Limits.PeerLoss)
	case s.Limits.MemoryMB < 16:
		return bad("limits.memory_mb", "%d is below 16", s.Limits.MemoryMB)
	case s.Limits.Sockets < 128:
		return bad("limits.sockets", "%d is below 128", s.Limits.Sockets)
	case s.Rules.Slack < 0:
		return bad("rules.slack", "must not be below 0")
	case s.Rules.DrainGrace < 0:
		return bad("rules.drain_grace", "must not be below 0")
	case !(s.Rules.ColdFrom > 0 && s.Rules.ColdFrom <= 1):
		return bad("rules.cold_from", "%v is not between 0 and 1", s.Rules.ColdFrom)
	case s.Rules.WarmAfter < 0:
		return bad("rules.warm_after", "must not be below 0")
	case !(s.Rules.OverloadFactor > 1):
		return bad("rules.overload_factor", "%v is not above 1", s.Rules.OverloadFactor)
	case s.Rules.OverloadFor <= 0:
		return bad("rules.overload_for", "must be above 0")
	}
	total := 0
	for i, b := range s.Backends {
		at := func(field string) string { return fmt.Sprintf("backends[%d].%s", i, field) }
		switch {
		case b.Count < 1 || b.Count > 1000:
			return bad(at("count"), "%d is not between 1 and 1000", b.Count)
		case b.CellSize < 1:
			return bad(at("cell_size"), "%d is below 1", b.CellSize)
		case b.Cores < 1:
			return bad(at("cores"), "%d is below 1", b.Cores)
		case !(b.Speed > 0 && b.Speed <= 1000):
			return bad(at("speed"), "%v is not between 0 and 1000", b.Speed)
		case b.Slots < 1:
			return bad(at("slots"), "%d is below 1", b.Slots)
		case b.Room < 0:
			return bad(at("room"), "%d is below 0", b.Room)
		case b.Connections < 0:
			return bad(at("connections"), "%d is below 0", b.Connections)
		case b.Handshake < 0:
			return bad(at("handshake"), "must not be below 0")
		case b.Probe < 0:
			return bad(at("probe"), "must not be below 0")
		case b.IdleClose <= 0:
			return bad(at("idle_close"), "must be above 0")
		case !fraction(b.ErrorRate):
			return bad(at("error_rate"), "%v is no share", b.ErrorRate)
		}
		total += b.Count
	}
	sum := 0.0
	for i, c := range s.Classes {
		at := func(field string) string { return fmt.Sprintf("classes[%d].%s", i, field) }
		switch {
		case c.Name == "" || strings.ContainsAny(c.Name, "/? \r\n") ||
			slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == c.Name }):
			return bad(at("name"), "%q is no name, or taken", c.Name)
		case !(c.Share > 0 && c.Share <= 1):
			return bad(at("share"), "%v is no share", c.Share)
		case c.Aim <= 0:
			return bad(at("aim"), "must be above 0")
		case c.Deadline < c.Aim:
			return bad(at("deadline"), "%v is before the aim, %v", c.Deadline.D(), c.Aim.D())
		case c.Work <= 0:
			return bad(at("work"), "must be above 0")
		case !(c.Spread >= 0 && c.Spread <= 3):
			return bad(at("spread"), "%v is not between 0 and 3", c.Spread)
		case !finite(c.Worth):
			return bad(at("worth"), "%v is no worth", c.Worth)
		case !slices.Contains([]string{"safe", "keyed", "unsafe"}, c.Effect):
			return bad(at("effect"), "%q is none of safe, keyed, unsafe", c.Effect)
		case !slices.Contains([]string{"all", "zone", "cell"}, c.Scope):
			return bad(at("scope"), "%q is none of all, zone, cell", c.Scope)
		case c.Body < 0 || c.Body > 32<<20:
			return bad(at("body"), "%d is not between 0 and 33554432 bytes", c.Body)
		case c.Body > 0 && c.Effect == "safe":
			return bad(at("body"), "a safe class has none")
		case c.Answer < 0 || c.Answer > 32<<20:
			return bad(at("answer"), "%d is not between 0 and 33554432 bytes", c.Answer)
		case c.Effect == "keyed" && c.Window <= 0:
			return bad(at("window"), "a keyed class needs one")
		}
		sum += c.Share
	}
	if math.Abs(sum-1) > 0.001 {
		return bad("classes", "the shares add up to %.3g, not to 1", sum)
	}
	sum = 0
	for i, a := range s.Accounts {
		if a.Name == "" || strings.ContainsAny(a.Name, " \r\n") {
			return bad(fmt.Sprintf("accounts[%d].name", i), "%q is no name", a.Name)
		}
		if !(a.Share > 0 && a.Share <= 1) {
			return bad(fmt.Sprintf("accounts[%d].share", i), "%v is no share", a.Share)
		}
		sum += a.Share
	}
	if math.Abs(sum-1) > 0.001 {
		return bad("accounts", "the shares add up to %.3g, not to 1", sum)
	}
	for i, l := range s.Load {
		if !finite(l.Rate) {
			return bad(fmt.Sprintf("load[%d].rate", i), "%v is no rate", l.Rate)
		}
		if l.At < 0 || i > 0 && l.At <= s.Load[i-1].At {
			return bad(fmt.Sprintf("load[%d].at", i), "%v does not come after the point before", l.At.D())
		}
	}
	for i := range s.Faults {
		if e := s.checkFault(&s.Faults[i], total); e != nil {
			e.Field = fmt.Sprintf("fault[%d].%s", i, e.Field)
			return e
		}
	}
	return nil
}

func (s *Scenario) checkFault(f *Fault, backends int) *Error {
	bad := func(field, format string, args ...any) *Error {
		return &Error{Field: field, What: fmt.Sprintf(format, args...)}
	}
	k, known := kinds[f.Kind]
	most := backends
	if k.agents {
		most = s.Agents
	}
	zones := []string{}
	for _, b := range s.Backends {
		if !slices.Contains(zones, b.Zone) {
			zones = append(zones, b.Zone)
		}
	}
	if f.Zone != "" && !k.agents {
		most = 0
		for _, b := range s.Backends {
			if b.Zone == f.Zone {
				most += b.Count
			}
		}
	}
	switch {
	case !known:
		return bad("kind", "%q is unknown", f.Kind)
	case f.At < 0 || f.At >= s.For:
		return bad("at", "%v is not within the day", f.At.D())
	case f.For < 0:
		return bad("for", "must not be below 0")
	case f.Every < 0:
		return bad("every", "must not be below 0")
	case !(f.Share >= 0 && f.Share <= 1):
		return bad("share", "%v is no share", f.Share)
	case f.Zone != "" && k.all && f.Kind != "site-cut":
		return bad("zone", "%s hits all alike", f.Kind)
	case (f.Zone != "" || f.Kind == "site-cut") && !slices.Contains(zones, f.Zone):
		return bad("zone", "%q has no backends", f.Zone)
	case f.Other != "" && (f.Kind != "site-cut" || f.Other == f.Zone || !slices.Contains(zones, f.Other)):
		return bad("other", "%q is no other zone that site-cut could cut off", f.Other)
	case f.Way != "" && (f.Kind != "site-cut" || f.Way != "in" && f.Way != "out"):
		return bad("way", "%q is neither in nor out of a site-cut", f.Way)
	case f.Times < 0 || f.Times > 1000:
		return bad("times", "%d is not between 0 and 1000", f.Times)
	case f.Pause < 0:
		return bad("pause", "must not be below 0")
	case f.Count < 0 || f.Count > most:
		return bad("count", "%d is not between 0 and %d", f.Count, most)
	case k.all && (f.Share != 0 || f.Count != 0):
		return bad("share", "%s hits all alike", f.Kind)
	case !k.all && (f.Share == 0) == (f.Count == 0):
		return bad("share", "%s needs either share or count", f.Kind)
	case k.max > 0 && !(f.Size > k.min && f.Size <= k.max):
		return bad("size", "%v is not between %v and %v", f.Size, k.min, k.max)
	case k.max == 0 && f.Size != 0:
		return bad("size", "%s has none", f.Kind)
	case (f.Kind == "flood") != (f.Account != ""):
		return bad("account", "flood needs one, and nothing else has one")
	case f.Account != "" && !slices.ContainsFunc(s.Accounts, func(a Account) bool { return a.Name == f.Account }):
		return bad("account", "%q is none of the accounts", f.Account)
	}
	return nil
}
