package alerting

import "time"

const (
	page   = "page"
	ticket = "ticket"

	scrape = 15 * time.Second // at which figures are usually asked for
	window = 5 * time.Minute
)

// Rules is the table: first what concerns the core machines, then the configuration, the gates,
// requests and processes.
var Rules = []Rule{
	{Alert: "MeshNoLeader", Severity: page, Of: Term{Metric: "micaline_mesh_leaders"}, Compare: "<", Bound: 1, For: 2 * scrape,
		Warns: "Duty, Acks", Summary: "no core machine leads: nothing can be changed"},
	{Alert: "MeshTwoLeaders", Severity: ticket, Of: Term{Metric: "micaline_mesh_leaders"}, Compare: ">", Bound: 1, For: time.Minute,
		Warns: "CONFIG", Summary: "two core machines say that they lead: one is cut off, or the exporter sees two meshes"},
	{Alert: "MeshLeaderUnsteady", Severity: ticket, Of: Term{Metric: "micaline_mesh_core_leader_changes_total", Over: Increase, Window: 2 * window},
		Compare: ">", Bound: 3, Warns: "Acks", Summary: "leadership moves again and again"},
	{Alert: "MeshCoreSilent", Severity: page, Of: Term{Metric: "micaline_mesh_cores_silent"}, Compare: ">", Bound: 0, For: time.Minute,
		Warns: "LOST after a loss", Summary: "a core machine gives no figures"},
	{Alert: "MeshSyncSlow", Severity: ticket, Of: Term{Metric: "micaline_mesh_core_sync_longest_seconds"}, Compare: ">", Bound: 0.25,
		Rising: 3 * window, Warns: "Acks", Summary: "a core machine's disk syncs slowly"},
	{Alert: "MeshCallsUnanswered", Severity: page, Sum: true, Of: Term{Metric: "micaline_mesh_core_proposals_total", Label: "result",
		Values: []string{"unknown", "not_taken"}, Over: Increase, Window: window}, Compare: ">", Bound: 3,
		Warns: "Acks, Duty", Summary: "calls of operators are not agreed on in time"},
	{Alert: "MeshCallsRefused", Severity: ticket, Sum: true, Of: Term{Metric: "micaline_mesh_core_proposals_total", Label: "result",
		Values: []string{"refused"}, Over: Increase, Window: window}, Compare: ">", Bound: 5,
		Warns: "CONFIG (invalid)", Summary: "invalid configurations are being sent"},
	{Alert: "MeshAgentsLost", Severity: page, Sum: true, By: []string{"machine"},
		Of:      Term{Metric: "micaline_mesh_core_stations", Label: "state", Values: []string{"lost"}},
		Per:     &Term{Metric: "micaline_mesh_core_stations"},
		Compare: ">", Bound: 0.1, For: scrape, Warns: "RECOVER", Summary: "a core machine has lost more than a tenth of the agents"},

	{Alert: "MeshConfigurationBehind", Severity: page, Of: Term{Metric: "micaline_mesh_config_behind"}, Compare: ">", Bound: 0,
		For: 2 * scrape, Warns: "CONFIG, EVAC", Summary: "an agent goes by an older configuration"},
	{Alert: "MeshConfigurationUnheard", Severity: page, Of: Term{Metric: "micaline_mesh_agent_unheard_seconds"}, Compare: ">", Bound: 10,
		For: scrape, Warns: "CONFIG, EVAC", Summary: "an agent hears no core machine and goes on with what it has"},
	{Alert: "MeshAgentNotReady", Severity: ticket, Of: Term{Metric: "micaline_mesh_agent_ready"}, Compare: "<", Bound: 1, For: time.Minute,
		Warns: "-", Summary: "an agent is not ready: no current configuration, or it does not end"},

	{Alert: "MeshColdNearBound", Severity: page, Of: Term{Metric: "micaline_mesh_gate_cold_peak"}, Per: &Term{Metric: "micaline_mesh_gate_cold_bound"},
		Compare: ">", Bound: 0.9, Warns: "FAILBACK", Summary: "a cold backend got nearly as much in a second as it may"},
	{Alert: "MeshDrainLong", Severity: ticket, Of: Term{Metric: "micaline_mesh_gate_backend_state", Label: "state", Values: []string{"draining"}},
		Compare: ">", Bound: 0, For: time.Minute, Warns: "DRAIN", Summary: "a backend has been leaving for a minute"},
	{Alert: "MeshGateTwice", Severity: page, Of: Term{Metric: "micaline_mesh_gate_refused_total", Label: "reason", Values: []string{"twice"},
		Over: Increase, Window: window}, Compare: ">", Bound: 0,
		Warns: "TWICE", Summary: "a gate was asked to run an unsafe request a second time, and did not"},
	{Alert: "MeshGateUnknown", Severity: ticket, Sum: true, Of: Term{Metric: "micaline_mesh_gate_refused_total", Label: "reason",
		Values: []string{"unknown"}, Over: Increase, Window: window},
		Per: &Term{Metric: "micaline_mesh_attempts_total", Over: Increase, Window: window}, Least: 100, Compare: ">", Bound: 0.02,
		Warns: "ROUTE", Summary: "requests go to backends that are gone: agents' views are old"},

	{Alert: "MeshBudgetAlmostSpent", Severity: ticket, Sum: true, By: []string{"service"}, Of: Term{Metric: "micaline_mesh_budget_spent"},
		Per: &Term{Metric: "micaline_mesh_budget_allowed"}, Compare: ">", Bound: 0.8, For: scrape,
		Warns: "BUDGET", Summary: "the retry budget of a service is almost spent"},
	{Alert: "MeshRefusing", Severity: page, Sum: true, Of: Term{Metric: "micaline_mesh_requests_ended_total", Label: "result",
		Values: []string{"refused"}, Over: Increase, Window: window},
		Per: &Term{Metric: "micaline_mesh_requests_taken_total", Over: Increase, Window: window}, Least: 100, Compare: ">", Bound: 0.05,
		Warns: "Gate", Summary: "more than 5% of the requests are refused"},
	{Alert: "MeshFailing", Severity: page, Sum: true, Of: Term{Metric: "micaline_mesh_requests_ended_total", Label: "result",
		Values: []string{"failed", "backend_failed"}, Over: Increase, Window: window},
		Per: &Term{Metric: "micaline_mesh_requests_taken_total", Over: Increase, Window: window}, Least: 100, Compare: ">", Bound: 0.02,
		Warns: "Gate, RECOVER", Summary: "more than 2% of the requests fail"},
	{Alert: "MeshMayHaveRun", Severity: ticket, Sum: true, Of: Term{Metric: "micaline_mesh_attempts_unanswered_total", Label: "verdict",
		Values: []string{"may_have_run"}, Over: Increase, Window: window},
		Per: &Term{Metric: "micaline_mesh_attempts_total", Over: Increase, Window: window}, Least: 100, Compare: ">", Bound: 0.01,
		Warns: "TWICE, REFUSED", Summary: "more than 1% of the attempts end without anybody knowing whether they ran"},
	{Alert: "MeshSpoiltAnswers", Severity: ticket, Sum: true, Of: Term{Metric: "micaline_mesh_attempts_unanswered_total", Label: "reason",
		Values: []string{"spoilt"}, Over: Increase, Window: window}, Compare: ">", Bound: 5,
		Warns: "MIXED", Summary: "backends give answers that are not whole, or others'"},
	{Alert: "MeshTurnedAway", Severity: ticket, Sum: true, Of: Term{Metric: "micaline_mesh_requests_ended_total", Label: "result",
		Values: []string{"no_route", "bad"}, Over: Increase, Window: window},
		Per: &Term{Metric: "micaline_mesh_requests_taken_total", Over: Increase, Window: window}, Least: 100, Compare: ">", Bound: 0.001,
		Warns: "DENIED", Summary: "requests are answered 4xx: no route, or over a limit"},

	{Alert: "MeshUnknownKeys", Severity: ticket, Sum: true, Of: Term{Metric: "micaline_mesh_requests_ended_total", Label: "result",
		Values: []string{"unknown_key"}, Over: Increase, Window: window},
		Per: &Term{Metric: "micaline_mesh_requests_taken_total", Over: Increase, Window: window}, Least: 100, Compare: ">", Bound: 0.01,
		Warns: "DENIED", Summary: "more than 1% of the requests bring no customer's key"},

	{Alert: "MeshUsageBehind", Severity: page, Of: Term{Metric: "micaline_mesh_core_usage_behind_seconds"}, Compare: ">", Bound: 30, For: 2 * scrape,
		Warns: "Duty", Summary: "usage is not reported to the platform"},
	{Alert: "MeshUsageLost", Severity: ticket, Of: Term{Metric: "micaline_mesh_core_usage_lost_total", Over: Increase, Window: window},
		Compare: ">", Bound: 0, Warns: "Duty", Summary: "usage of a window will never be reported"},
	{Alert: "MeshDutyFenced", Severity: ticket, Sum: true, Of: Term{Metric: "micaline_mesh_core_duty_calls_total", Label: "result",
		Values: []string{"fenced"}, Over: Increase, Window: window}, Compare: ">", Bound: 3,
		Warns: "ONE", Summary: "the platform refuses the holder of a duty: another mesh may report to it"},

	{Alert: "MeshWindowNotClear", Severity: page, Of: Term{Metric: "micaline_mesh_core_window_late_seconds"}, Compare: ">", Bound: 10, For: scrape,
		Warns: "-", Summary: "work on machines is to have begun, and something is left on them"},
	{Alert: "MeshWindowWaits", Severity: ticket, Of: Term{Metric: "micaline_mesh_core_window_waits"}, Compare: ">", Bound: 0, For: time.Minute,
		Warns: "-", Summary: "a window of maintenance does not go on: what stays in use would not bear it"},

	{Alert: "MeshAgentSilent", Severity: ticket, Of: Term{Metric: "micaline_mesh_up", Label: "process", Values: []string{"agent"}},
		Compare: "<", Bound: 1, For: time.Minute, Warns: "-", Summary: "an agent gives no figures"},
	{Alert: "MeshProcessRestarts", Severity: page, Of: Term{Metric: "micaline_mesh_uptime_seconds", Over: Resets, Window: 30 * time.Minute},
		Compare: ">", Bound: 1, Warns: "Fault", Summary: "a process has ended more than once in half an hour"},
	{Alert: "MeshMemoryNearLimit", Severity: page, Of: Term{Metric: "micaline_mesh_memory_bytes"}, Per: &Term{Metric: "micaline_mesh_memory_limit_bytes"},
		Compare: ">", Bound: 0.85, For: scrape, Warns: "Fault", Summary: "a process is about to be killed for its memory"},
	{Alert: "MeshFiguresDropped", Severity: ticket, Of: Term{Metric: "micaline_mesh_dropped"}, Compare: ">", Bound: 0, For: time.Minute,
		Warns: "-", Summary: "the exporter leaves figures out: it is of another version than the mesh"},
}
