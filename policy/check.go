package policy

import (
	"fmt"
	"slices"
)

// check names the setting that cannot be right. Nothing is decided by it.
func (s *Settings) check() error {
	bad := func(name string, v any) error { return fmt.Errorf("setting %s cannot be %v", name, v) }
	switch {
	case s.Agents < 1:
		return bad("Agents", s.Agents)
	case s.Rank < 0 || s.Rank >= s.Agents:
		return bad("Rank", s.Rank)
	case !(s.ProbeFee >= 0):
		return bad("ProbeFee", s.ProbeFee)
	case !(s.Width >= 0):
		return bad("Width", s.Width)
	case s.MaxAttempts < 1:
		return bad("MaxAttempts", s.MaxAttempts)
	case !(s.ColdFrom > 0 && s.ColdFrom <= 1):
		return bad("ColdFrom", s.ColdFrom)
	case s.WarmAfter < 0:
		return bad("WarmAfter", s.WarmAfter)
	case !(s.OverloadFactor > 0):
		return bad("OverloadFactor", s.OverloadFactor)
	case s.IdleClose < 0:
		return bad("IdleClose", s.IdleClose)
	case s.ExtraWindow < 0:
		return bad("ExtraWindow", s.ExtraWindow)
	case !(s.ExtraFloor >= 0):
		return bad("ExtraFloor", s.ExtraFloor)
	case !(s.ExtraRatio >= 0):
		return bad("ExtraRatio", s.ExtraRatio)
	case s.Tick < 0:
		return bad("Tick", s.Tick)
	case s.AskList && s.MustAskIn <= 0:
		return bad("MustAskIn", s.MustAskIn)
	case len(s.Classes) == 0:
		return bad("Classes", "empty")
	}
	for i, c := range s.Classes {
		switch {
		case c.Aim <= 0:
			return bad(fmt.Sprintf("Classes[%d].Aim", i), c.Aim)
		case c.Deadline < c.Aim:
			return bad(fmt.Sprintf("Classes[%d].Deadline", i), c.Deadline)
		case !(c.Worth >= 0):
			return bad(fmt.Sprintf("Classes[%d].Worth", i), c.Worth)
		case c.Effect > SideEffect:
			return bad(fmt.Sprintf("Classes[%d].Effect", i), c.Effect)
		case c.Scope > ScopeCell:
			return bad(fmt.Sprintf("Classes[%d].Scope", i), c.Scope)
		case c.Window < 0:
			return bad(fmt.Sprintf("Classes[%d].Window", i), c.Window)
		case slices.ContainsFunc(c.Zones, negative):
			return bad(fmt.Sprintf("Classes[%d].Zones", i), c.Zones)
		case slices.ContainsFunc(c.Kinds, negative):
			return bad(fmt.Sprintf("Classes[%d].Kinds", i), c.Kinds)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Portion >= 0) {
			return bad(fmt.Sprintf("Tenants[%d].Portion", i), t.Portion)
		}
	}
	return nil
}

func negative(i int) bool { return i < 0 }
