package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"example.org/grebefork"
)

// facts mirrors the keys of the settings text that the module has a use for. Others are passed over.
type facts struct {
	Accounts []struct {
		Portion float64
	}
	Categories []struct {
		Aim, Deadline, Credit, LateWorth, RepeatWindow float64

		Effect, DedupScope string
		Stream             bool

		LocalitiesOnly, BoundTo []float64 // absent: any; empty: none
	}
	Discovery string
	Limits    struct {
		Cancel, Probes, SecondCopies bool
		MaxAttempts, IdleClose       float64
	}
	Fees               struct{ CrossZone float64 }
	Localities, Skus   []string
	Rank, ReplicasOfMe float64
	Zone               float64
	Report             struct {
		Fields []string
		How    string
	}
	Rules struct {
		ColdFrom, MustAskIn, OverloadFactor, WarmAfter float64
		ExtraFloor, ExtraWindow, ResendRatio           float64
	}
	Tick float64
}

var effects = map[string]grebefork.Effect{
	"pure": grebefork.Pure, "token": grebefork.Token, "side_effect": grebefork.SideEffect,
}

var scopes = map[string]grebefork.Scope{
	"": grebefork.ScopeAll, "all": grebefork.ScopeAll,
	"zone": grebefork.ScopeZone, "cell": grebefork.ScopeCell,
}

var reportModes = map[string]grebefork.ReportMode{
	"": grebefork.ReportsOff, "off": grebefork.ReportsOff,
	"inline": grebefork.ReportsInline, "on_probe": grebefork.ReportsOnProbe,
}

// parseSettings reads the settings text. It also returns the names of the values in a load report.
func parseSettings(text []byte) (grebefork.Settings, []string, error) {
	var f facts
	if err := json.Unmarshal(text, &f); err != nil {
		return grebefork.Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	s := grebefork.Settings{
		Rank: int(f.Rank), Agents: int(f.ReplicasOfMe),
		Zone: int(f.Zone), CrossFee: f.Fees.CrossZone,
		AskList:        f.Discovery == "subscribe",
		MustAskIn:      millis(f.Rules.MustAskIn),
		Tick:           millis(f.Tick),
		IdleClose:      millis(f.Limits.IdleClose),
		MaxAttempts:    int(f.Limits.MaxAttempts),
		Probes:         f.Limits.Probes,
		Cancel:         f.Limits.Cancel,
		SecondCopies:   f.Limits.SecondCopies,
		ColdFrom:       f.Rules.ColdFrom,
		WarmAfter:      millis(f.Rules.WarmAfter),
		OverloadFactor: f.Rules.OverloadFactor,
		ExtraWindow:    millis(f.Rules.ExtraWindow),
		ExtraFloor:     f.Rules.ExtraFloor,
		ExtraRatio:     f.Rules.ResendRatio,
	}
	var ok bool
	if s.Reports, ok = reportModes[f.Report.How]; !ok {
		return s, nil, fmt.Errorf("settings: report.how %q is unknown", f.Report.How)
	}
	for i, c := range f.Categories {
		effect, ok := effects[c.Effect]
		if !ok {
			return s, nil, fmt.Errorf("settings: categories[%d].effect %q is unknown", i, c.Effect)
		}
		scope, ok := scopes[c.DedupScope]
		if !ok {
			return s, nil, fmt.Errorf("settings: categories[%d].dedupScope %q is unknown", i, c.DedupScope)
		}
		zones, err := indices(c.LocalitiesOnly, len(f.Localities))
		if err != nil {
			return s, nil, fmt.Errorf("settings: categories[%d].localitiesOnly: %w", i, err)
		}
		kinds, err := indices(c.BoundTo, len(f.Skus))
		if err != nil {
			return s, nil, fmt.Errorf("settings: categories[%d].boundTo: %w", i, err)
		}
		s.Classes = append(s.Classes, grebefork.Class{
			Aim: millis(c.Aim), Deadline: millis(c.Deadline), Worth: c.Credit, LateWorth: c.LateWorth,
			Effect: effect, Scope: scope, Window: millis(c.RepeatWindow), Stream: c.Stream,
			Zones: zones, Kinds: kinds,
		})
	}
	for _, a := range f.Accounts {
		s.Tenants = append(s.Tenants, grebefork.Tenant{Portion: a.Portion})
	}
	return s, f.Report.Fields, nil
}

// millis turns milliseconds into a duration; what no duration can hold becomes 0, the absent value.
func millis(ms float64) time.Duration {
	if math.IsNaN(ms) || math.Abs(ms) > 1e12 {
		return 0
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}

// indices turns a list of positions among n names into integers; a nil list stays nil.
func indices(list []float64, n int) ([]int, error) {
	if list == nil {
		return nil, nil
	}
	out := make([]int, 0, len(list))
	for _, v := range list {
		if v != math.Trunc(v) || v < 0 || v >= float64(n) {
			return nil, fmt.Errorf("%v is no position among %d", v, n)
		}
		out = append(out, int(v))
	}
	return out, nil
}
