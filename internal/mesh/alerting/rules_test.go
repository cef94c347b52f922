package alerting

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/mesh/meshmetrics"
	"github.com/stretchr/testify/require"
)

// series is a stand-in: a straight line of values, one each scrape; a counter that falls back every
// so many is a restart.
type series struct {
	labels           string // "a=x b=y"
	from, step, back float64
}

func (s series) at(t time.Duration) float64 {
	n := float64(t / scrape)
	if s.back > 0 {
		n = float64(int(n) % int(s.back))
	}
	return s.from + s.step*n
}

type mesh map[string][]series // by metric

const length = 40 * time.Minute

func (t *Term) eval(m mesh, now time.Duration) map[string]float64 {
	out := map[string]float64{}
	for _, s := range m[t.Metric] {
		if label := labelOf(s.labels, t.Label); t.Label != "" && !slices.Contains(t.Values, label) {
			continue
		}
		v := s.at(now)
		switch t.Over {
		case Increase, Delta:
			v -= s.at(now - t.Window)
		case Resets:
			v = 0
			for at := now - t.Window + scrape; at <= now; at += scrape {
				if s.at(at) < s.at(at-scrape) {
					v++
				}
			}
		}
		out[s.labels] = v
	}
	return out
}

func labelOf(labels, name string) string {
	for pair := range strings.FieldsSeq(labels) {
		if value, ok := strings.CutPrefix(pair, name+"="); ok {
			return value
		}
	}
	return ""
}

func (r *Rule) sums(values map[string]float64) map[string]float64 {
	if !r.Sum {
		return values
	}
	out := map[string]float64{}
	for labels, v := range values {
		key := ""
		for _, by := range r.By {
			key += by + "=" + labelOf(labels, by) + " "
		}
		out[key] += v
	}
	return out
}

// holds is what Expr says, worked out in a plain way.
func (r *Rule) holds(m mesh, now time.Duration) bool {
	per := map[string]float64{}
	if r.Per != nil {
		per = r.sums(r.Per.eval(m, now))
	}
	rise := Term{Metric: r.Of.Metric, Over: Delta, Window: r.Rising}
	for labels, v := range r.sums(r.Of.eval(m, now)) {
		if r.Per != nil {
			if per[labels] <= r.Least {
				continue
			}
			v /= per[labels]
		}
		if r.Rising > 0 && rise.eval(m, now)[labels] <= 0 {
			continue
		}
		if r.Compare == ">" && v > r.Bound || r.Compare == "<" && v < r.Bound {
			return true
		}
	}
	return false
}

func (r *Rule) fires(m mesh) bool {
	for now := length - r.For; now <= length; now += scrape {
		if !r.holds(m, now) {
			return false
		}
	}
	return true
}

// quiet is a mesh on a calm day, with all metrics that rules ask for.
var quiet = mesh{
	"micaline_mesh_leaders":                   {{"", 1, 0, 0}},
	"micaline_mesh_core_leader_changes_total": {{"machine=a", 2, 0, 0}},
	"micaline_mesh_cores_silent":              {{"", 0, 0, 0}},
	"micaline_mesh_core_usage_behind_seconds": {{"machine=a", 6, 0, 0}},
	"micaline_mesh_core_usage_lost_total":     {{"machine=a", 2, 0, 0}},
	"micaline_mesh_core_window_late_seconds":  {{"machine=a", 4, 0, 0}},
	"micaline_mesh_core_window_waits":         {{"machine=a", 0, 0, 0}},
	"micaline_mesh_core_duty_calls_total":     {{"machine=a result=taken", 0, 3, 0}, {"machine=a result=fenced", 1, 0, 0}},
	"micaline_mesh_core_sync_longest_seconds": {{"machine=a", 0.3, 0, 0}}, // long ago
	"micaline_mesh_core_proposals_total": {{"machine=a result=agreed", 5, 1, 0}, {"machine=a result=unknown", 1, 0, 0},
		{"machine=a result=not_taken", 1, 0, 0}, {"machine=a result=refused", 1, 0, 0}},
	"micaline_mesh_core_stations":         {{"machine=a state=open", 13, 0, 0}, {"machine=a state=lost", 1, 0, 0}},
	"micaline_mesh_config_behind":         {{"machine=b", 0, 0, 0}},
	"micaline_mesh_agent_unheard_seconds": {{"machine=b", 0.4, 0, 0}},
	"micaline_mesh_agent_ready":           {{"machine=b", 1, 0, 0}},
	"micaline_mesh_gate_cold_peak":        {{"machine=b", 7, 0, 0}},
	"micaline_mesh_gate_cold_bound":       {{"machine=b", 12.8, 0, 0}},
	"micaline_mesh_gate_backend_state":    {{"machine=b state=ready", 1, 0, 0}, {"machine=b state=draining", 0, 0, 0}},
	"micaline_mesh_gate_refused_total":    {{"machine=b reason=twice", 0, 0, 0}, {"machine=b reason=unknown", 3, 0, 0}},
	"micaline_mesh_attempts_total":        {{"machine=b", 0, 150, 0}, {"machine=c", 0, 150, 0}},
	"micaline_mesh_attempts_unanswered_total": {{"machine=b reason=silent verdict=may_have_run", 0, 1, 0},
		{"machine=b reason=spoilt verdict=may_have_run", 2, 0, 0}},
	"micaline_mesh_budget_spent":   {{"machine=b service=s", 5, 0, 0}, {"machine=c service=s", 0, 0, 0}}, // one agent's alone is spent
	"micaline_mesh_budget_allowed": {{"machine=b service=s", 5, 0, 0}, {"machine=c service=s", 5, 0, 0}},
	"micaline_mesh_requests_ended_total": {{"machine=b result=served", 0, 150, 0}, {"machine=b result=refused", 0, 1, 0},
		{"machine=b result=failed", 0, 1, 0}, {"machine=b result=backend_failed", 0, 1, 0}, {"machine=b result=no_route", 0, 0, 0}},
	"micaline_mesh_requests_taken_total": {{"machine=b", 0, 150, 0}},
	"micaline_mesh_up":                   {{"machine=b process=agent", 1, 0, 0}},
	"micaline_mesh_uptime_seconds":       {{"machine=b", 0, 15, 0}},
	"micaline_mesh_memory_bytes":         {{"machine=b", 90e6, 0, 0}},
	"micaline_mesh_memory_limit_bytes":   {{"machine=b", 284e6, 0, 0}},
	"micaline_mesh_dropped":              {{"", 0, 0, 0}},
}

// trouble replaces series of the calm day, for each alert so that it fires.
var trouble = map[string]mesh{
	"MeshNoLeader":             {"micaline_mesh_leaders": {{"", 0, 0, 0}}},
	"MeshTwoLeaders":           {"micaline_mesh_leaders": {{"", 2, 0, 0}}},
	"MeshLeaderUnsteady":       {"micaline_mesh_core_leader_changes_total": {{"machine=a", 0, 0.2, 0}}},
	"MeshCoreSilent":           {"micaline_mesh_cores_silent": {{"", 1, 0, 0}}},
	"MeshSyncSlow":             {"micaline_mesh_core_sync_longest_seconds": {{"machine=a", 0, 0.01, 0}}},
	"MeshCallsUnanswered":      {"micaline_mesh_core_proposals_total": {{"result=unknown", 0, 0.1, 0}, {"result=not_taken", 0, 0.1, 0}}},
	"MeshCallsRefused":         {"micaline_mesh_core_proposals_total": {{"result=refused", 0, 1, 0}}},
	"MeshAgentsLost":           {"micaline_mesh_core_stations": {{"machine=a state=open", 8, 0, 0}, {"machine=a state=lost", 1, 0, 0}}},
	"MeshConfigurationBehind":  {"micaline_mesh_config_behind": {{"machine=b", 1, 0, 0}, {"machine=c", 0, 0, 0}}},
	"MeshConfigurationUnheard": {"micaline_mesh_agent_unheard_seconds": {{"machine=b", 0, 15, 0}}},
	"MeshAgentNotReady":        {"micaline_mesh_agent_ready": {{"machine=b", 0, 0, 0}}},
	"MeshColdNearBound":        {"micaline_mesh_gate_cold_peak": {{"machine=b", 12, 0, 0}}},
	"MeshDrainLong":            {"micaline_mesh_gate_backend_state": {{"machine=b state=draining", 1, 0, 0}}},
	"MeshGateTwice":            {"micaline_mesh_gate_refused_total": {{"machine=b reason=twice", 0, 0.1, 0}}},
	"MeshGateUnknown":          {"micaline_mesh_gate_refused_total": {{"machine=b reason=unknown", 0, 9, 0}}},
	"MeshBudgetAlmostSpent":    {"micaline_mesh_budget_spent": {{"machine=b service=s", 5, 0, 0}, {"machine=c service=s", 4, 0, 0}}},
	"MeshRefusing":             {"micaline_mesh_requests_ended_total": {{"result=served", 0, 140, 0}, {"result=refused", 0, 10, 0}}},
	"MeshFailing":              {"micaline_mesh_requests_ended_total": {{"result=failed", 0, 2, 0}, {"result=backend_failed", 0, 2, 0}}},
	"MeshMayHaveRun":           {"micaline_mesh_attempts_unanswered_total": {{"reason=broken verdict=may_have_run", 0, 4, 0}}},
	"MeshSpoiltAnswers":        {"micaline_mesh_attempts_unanswered_total": {{"reason=spoilt verdict=may_have_run", 0, 0.5, 0}}},
	"MeshUnknownKeys":          {"micaline_mesh_requests_ended_total": {{"result=unknown_key", 0, 4, 0}}},
	"MeshUsageBehind":          {"micaline_mesh_core_usage_behind_seconds": {{"machine=a", 0, 15, 0}}},
	"MeshUsageLost":            {"micaline_mesh_core_usage_lost_total": {{"machine=a", 0, 1, 0}}},
	"MeshDutyFenced":           {"micaline_mesh_core_duty_calls_total": {{"result=fenced", 0, 1, 0}}},
	"MeshWindowNotClear":       {"micaline_mesh_core_window_late_seconds": {{"machine=a", 0, 15, 0}}},
	"MeshWindowWaits":          {"micaline_mesh_core_window_waits": {{"machine=a", 1, 0, 0}}},
	"MeshTurnedAway":           {"micaline_mesh_requests_ended_total": {{"result=no_route", 0, 0.5, 0}}},
	"MeshAgentSilent":          {"micaline_mesh_up": {{"machine=b process=agent", 0, 0, 0}}},
	"MeshProcessRestarts":      {"micaline_mesh_uptime_seconds": {{"machine=b", 0, 15, 30}}},
	"MeshMemoryNearLimit":      {"micaline_mesh_memory_bytes": {{"machine=b", 250e6, 0, 0}}},
	"MeshFiguresDropped":       {"micaline_mesh_dropped": {{"", 4, 0, 0}}},
}

func TestEachAlertFiresAndNoneOnACalmDay(t *testing.T) {
	require.Len(t, trouble, len(Rules))
	for i := range Rules {
		r := &Rules[i]
		require.False(t, r.fires(quiet), "%s on a calm day: %s", r.Alert, r.Expr())
		m := mesh{}
		for name, list := range quiet {
			m[name] = list
		}
		require.NotEmpty(t, trouble[r.Alert], r.Alert)
		for name, list := range trouble[r.Alert] {
			require.Contains(t, quiet, name)
			m[name] = list
		}
		require.True(t, r.fires(m), "%s: %s", r.Alert, r.Expr())
	}
}

// An alert on a metric that nobody has never fires, and one without a page wakes somebody who
// doesn't know what to do.
func TestAlertsNameMetricsAndPages(t *testing.T) {
	text, err := os.ReadFile("../../../docs/alerts.md")
	require.NoError(t, err)
	for i := range Rules {
		r := &Rules[i]
		require.Contains(t, string(text), fmt.Sprintf("\n## %s\n", r.Alert))
		for _, term := range []*Term{&r.Of, r.Per} {
			if term == nil {
				continue
			}
			m := meshmetrics.Find(term.Metric)
			require.NotNil(t, m, term.Metric)
			own := append([]string{"process", ""}, m.Labels...)
			require.Contains(t, own, term.Label, r.Alert)
			require.Equal(t, m.Kind == meshmetrics.Counter, term.Over == Increase, "%s: %s is a %s", r.Alert, term.Metric, m.Kind)
		}
	}
	printed, err := os.ReadFile("../../../deploy/alerts.yaml")
	require.NoError(t, err)
	require.Equal(t, YAML(), string(printed), "run go generate ./cmd/micaline-exporter")
}
