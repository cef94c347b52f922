// Package settings reads the settings that the operators give an agent and places the figures of load reports.
// Both programs use it, so that the simulator and the service mean the same by a name.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"example.org/micaline/policy"
)

// facts mirrors the keys of the settings text that the module has a use for. Others are passed over.
type facts struct {
	Accounts []struct {
		Name    string
		Portion float64
	}
	Categories []struct {
		Aim, Deadline, Credit, LateWorth, RepeatWindow float64

		Name, Effect, DedupScope string
		Stream                   bool

		LocalitiesOnly, BoundTo []float64 // absent: any; empty: none
	}
	Discovery string
	Limits    struct {
		Cancel, Probes, SecondCopies bool
		PeerMessages                 bool
		MaxAttempts, IdleClose       float64
		ConnectTimeout               float64
	}
	Localities, Skus   []string
	Rank, ReplicasOfMe float64
	Report             struct {
		Fields []string
		How    string
	}
	Rules struct {
		ColdFrom, MustAskIn, OverloadFactor, WarmAfter float64
		ExtraFloor, ExtraWindow, ResendRatio           float64
	}
	Tick, Zone float64
	Fees       struct{ CrossZone, Probe float64 }
}

var effects = map[string]policy.Effect{
	"pure": policy.Pure, "token": policy.Keyed, "side_effect": policy.SideEffect,
}

var scopes = map[string]policy.Scope{
	"": policy.ScopeAll, "all": policy.ScopeAll,
	"zone": policy.ScopeZone, "cell": policy.ScopeCell,
}

var reportModes = map[string]policy.ReportMode{
	"": policy.ReportsOff, "off": policy.ReportsOff,
	"inline": policy.ReportsInline, "on_probe": policy.ReportsOnProbe,
}

// Settings is what one text of settings says: the module's part, and the names and limits around it.
type Settings struct {
	Module         policy.Settings
	Classes        []string // the names behind the module's positions
	Tenants        []string
	Zones, Kinds   []string
	ReportFields   []string      // names of the values in a load report
	ConnectTimeout time.Duration // a connection that is not up by then has failed
}

// Parse reads the settings text.
func Parse(text []byte) (Settings, error) {
	var f facts
	if err := json.Unmarshal(text, &f); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	all := Settings{
		Zones: f.Localities, Kinds: f.Skus,
		ReportFields:   f.Report.Fields,
		ConnectTimeout: Millis(f.Limits.ConnectTimeout),
	}
	s := &all.Module
	*s = policy.Settings{
		Rank: int(f.Rank), Agents: int(f.ReplicasOfMe),
		Zone:           int(f.Zone),
		CrossZone:      f.Fees.CrossZone,
		ProbeFee:       f.Fees.Probe,
		AskList:        f.Discovery == "subscribe",
		MustAskIn:      Millis(f.Rules.MustAskIn),
		Tick:           Millis(f.Tick),
		IdleClose:      Millis(f.Limits.IdleClose),
		MaxAttempts:    int(f.Limits.MaxAttempts),
		Probes:         f.Limits.Probes,
		Cancel:         f.Limits.Cancel,
		SecondCopies:   f.Limits.SecondCopies,
		Peers:          f.Limits.PeerMessages,
		ColdFrom:       f.Rules.ColdFrom,
		WarmAfter:      Millis(f.Rules.WarmAfter),
		OverloadFactor: f.Rules.OverloadFactor,
		ExtraWindow:    Millis(f.Rules.ExtraWindow),
		ExtraFloor:     f.Rules.ExtraFloor,
		ExtraRatio:     f.Rules.ResendRatio,
	}
	var ok bool
	if s.Reports, ok = reportModes[f.Report.How]; !ok {
		return all, fmt.Errorf("settings: report.how %q is unknown", f.Report.How)
	}
	for i, c := range f.Categories {
		all.Classes = append(all.Classes, c.Name)
		effect, ok := effects[c.Effect]
		if !ok {
			return all, fmt.Errorf("settings: categories[%d].effect %q is unknown", i, c.Effect)
		}
		scope, ok := scopes[c.DedupScope]
		if !ok {
			return all, fmt.Errorf("settings: categories[%d].dedupScope %q is unknown", i, c.DedupScope)
		}
		zones, err := indices(c.LocalitiesOnly, len(f.Localities))
		if err != nil {
			return all, fmt.Errorf("settings: categories[%d].localitiesOnly: %w", i, err)
		}
		kinds, err := indices(c.BoundTo, len(f.Skus))
		if err != nil {
			return all, fmt.Errorf("settings: categories[%d].boundTo: %w", i, err)
		}
		s.Classes = append(s.Classes, policy.Class{
			Aim: Millis(c.Aim), Deadline: Millis(c.Deadline), Worth: c.Credit, LateWorth: c.LateWorth,
			Effect: effect, Scope: scope, Window: Millis(c.RepeatWindow), Stream: c.Stream,
			Zones: zones, Kinds: kinds,
		})
	}
	for _, a := range f.Accounts {
		all.Tenants = append(all.Tenants, a.Name)
		s.Tenants = append(s.Tenants, policy.Tenant{Portion: a.Portion})
	}
	return all, nil
}

// Millis turns milliseconds into a duration; what no duration can hold becomes 0, the absent value.
func Millis(ms float64) time.Duration {
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

// NoLoad is a load report without any figure.
func NoLoad() policy.Load {
	return policy.Load{InFlight: -1, Queue: -1, ServiceTime: -1, Rate: -1, ErrorRate: -1}
}

// AddLoad puts the figure with a name of the settings into a report; what cannot be a figure stays absent.
func AddLoad(l *policy.Load, name string, v float64) {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return
	}
	l.Known = true
	switch name {
	case "outstanding":
		l.InFlight = v
	case "backlog":
		l.Queue = v
	case "recent_ms":
		l.ServiceTime = Millis(v)
	case "throughput":
		l.Rate = v
	case "errors_per_s":
		l.ErrorRate = v
	}
}
