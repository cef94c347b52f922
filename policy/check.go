package policy

import (
	"fmt"
	"slices"
)

// check returns an error that names the first invalid setting. It decides nothing about requests.
func (s *Settings) check() error {
	invalid := func(name string, v any) error { return fmt.Errorf("setting %s cannot be %v", name, v) }
	switch {
	case s.Agents < 1:
		return invalid("Agents", s.Agents)
	case s.Rank < 0 || s.Rank >= s.Agents:
		return invalid("Rank", s.Rank)
	case !(s.ProbeFee >= 0):
		return invalid("ProbeFee", s.ProbeFee)
	case !(s.Width >= 0):
		return invalid("Width", s.Width)
	case s.MaxAttempts < 1:
		return invalid("MaxAttempts", s.MaxAttempts)
	case !(s.ColdFrom > 0 && s.ColdFrom <= 1):
		return invalid("ColdFrom", s.ColdFrom)
	case s.WarmAfter < 0:
		return invalid("WarmAfter", s.WarmAfter)
	case !(s.OverloadFactor > 0):
		return invalid("OverloadFactor", s.OverloadFactor)
	case s.IdleClose < 0:
		return invalid("IdleClose", s.IdleClose)
	case s.ExtraWindow < 0:
		return invalid("ExtraWindow", s.ExtraWindow)
	case !(s.ExtraFloor >= 0):
		return invalid("ExtraFloor", s.ExtraFloor)
	case !(s.ExtraRatio >= 0):
		return invalid("ExtraRatio", s.ExtraRatio)
	case s.Tick < 0:
		return invalid("Tick", s.Tick)
	case s.AskList && s.MustAskIn <= 0:
		return invalid("MustAskIn", s.MustAskIn)
	case len(s.Classes) == 0:
		return invalid("Classes", "empty")
	}
	for i, c := range s.Classes {
		switch {
		case c.Aim <= 0:
			return invalid(fmt.Sprintf("Classes[%d].Aim", i), c.Aim)
		case c.Deadline < c.Aim:
			return invalid(fmt.Sprintf("Classes[%d].Deadline", i), c.Deadline)
		case !(c.Worth >= 0):
			return invalid(fmt.Sprintf("Classes[%d].Worth", i), c.Worth)
		case c.Effect > SideEffect:
			return invalid(fmt.Sprintf("Classes[%d].Effect", i), c.Effect)
		case c.Scope > ScopeCell:
			return invalid(fmt.Sprintf("Classes[%d].Scope", i), c.Scope)
		case c.Window < 0:
			return invalid(fmt.Sprintf("Classes[%d].Window", i), c.Window)
		case slices.ContainsFunc(c.Zones, isNegative):
			return invalid(fmt.Sprintf("Classes[%d].Zones", i), c.Zones)
		case slices.ContainsFunc(c.Kinds, isNegative):
			return invalid(fmt.Sprintf("Classes[%d].Kinds", i), c.Kinds)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Portion >= 0) {
			return invalid(fmt.Sprintf("Tenants[%d].Portion", i), t.Portion)
		}
	}
	return nil
}

func isNegative(i int) bool { return i < 0 }
