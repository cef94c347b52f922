package meshmetrics

// Results of requests at an agent, of calls at a core machine, and states of a backend at its gate.
var (
	Results   = []string{"served", "backend_failed", "refused", "failed", "no_route", "bad", "left", "unknown_key"}
	Proposals = []string{"agreed", "refused", "unknown", "not_taken"}
	// DroppedCalls are the values of the label reason of micaline_mesh_core_calls_dropped_total.
	DroppedCalls = []string{"abandoned", "refused_since"}
	Backends     = []string{"none", "unproven", "ready", "cold", "draining", "evacuated", "blind"}
	Roles        = []string{"leader", "follower", "candidate", "learner", "recovering", "suspended"}
	Stations     = []string{"open", "shut", "lost"}
	DutyCalls    = []string{"taken", "fenced", "unclear"}
)

// Metrics is the table.
var Metrics = []Metric{
	{"micaline_mesh_uptime_seconds", Gauge, "s", nil, Both, "age of the process"},
	{"micaline_mesh_memory_bytes", Gauge, "bytes", nil, Both, "memory that the runtime holds"},
	{"micaline_mesh_memory_limit_bytes", Gauge, "bytes", nil, Both, "`limits.memory_mb` of the settings; 0: none"},

	{"micaline_mesh_requests_taken_total", Counter, "requests", nil, Agent, "requests of clients and of the backend on the machine"},
	{"micaline_mesh_requests_ended_total", Counter, "requests", []string{"result"}, Agent, "what became of them"},
	{"micaline_mesh_requests_held", Gauge, "requests", nil, Agent, "taken and not ended"},
	{"micaline_mesh_attempts_total", Counter, "attempts", nil, Agent, "requests handed to gates"},
	{"micaline_mesh_attempts_repeated_total", Counter, "attempts", nil, Agent, "of these, beyond a request's first"},
	{"micaline_mesh_attempts_local_total", Counter, "attempts", nil, Agent, "of these, to the gate on the same machine"},
	{"micaline_mesh_attempts_unanswered_total", Counter, "attempts", []string{"verdict", "reason"}, Agent,
		"attempts without a backend's answer, by whether the request may have run, and why"},
	{"micaline_mesh_budget_spent", Gauge, "attempts", []string{"service"}, Agent, "further attempts in the last `retry_window`"},
	{"micaline_mesh_budget_allowed", Gauge, "attempts", []string{"service"}, Agent, "the agent's part of the retry budget in it"},

	{"micaline_mesh_gate_handed_total", Counter, "requests", nil, Agent, "handed over to the backend"},
	{"micaline_mesh_gate_answered_total", Counter, "requests", nil, Agent, "of these, answered by it"},
	{"micaline_mesh_gate_failed_total", Counter, "requests", nil, Agent, "of these, ended without its answer"},
	{"micaline_mesh_gate_refused_total", Counter, "requests", []string{"reason"}, Agent, "refused by the gate; none of them ran"},
	{"micaline_mesh_gate_in_flight", Gauge, "requests", nil, Agent, "in work at the backend"},
	{"micaline_mesh_gate_waiting", Gauge, "requests", nil, Agent, "waiting for a slot"},
	{"micaline_mesh_gate_capacity", Gauge, "requests", nil, Agent, "that the backend works on at once; 0: no backend"},
	{"micaline_mesh_gate_cold_peak", Gauge, "requests a second", nil, Agent,
		"the most that a cold backend got in any second of the last 30 to 60 s"},
	{"micaline_mesh_gate_cold_bound", Gauge, "requests a second", nil, Agent, "what the rules let a cold backend get; 0: no warm-up"},
	{"micaline_mesh_gate_backend_state", Gauge, "0 or 1", []string{"state"}, Agent, "1 for the state of the backend"},

	{"micaline_mesh_gate_backend_changes_total", Counter, "changes", []string{"cause"}, Agent,
		"of the backend: another life, gone, back, leaving; by what showed it"},
	{"micaline_mesh_gate_late_calls_total", Counter, "calls", nil, Agent, "of the backend that came behind later ones, and changed nothing"},

	{"micaline_mesh_agent_ready", Gauge, "0 or 1", nil, Agent, "answers readiness with 200"},
	{"micaline_mesh_agent_config_index", Gauge, "index", nil, Agent, "index of the configuration that it has; 0: none"},
	{"micaline_mesh_agent_config_proven_seconds", Gauge, "s", nil, Agent,
		"since a core machine last proved it current, which it does when a feed opens; -1: never"},
	{"micaline_mesh_agent_unheard_seconds", Gauge, "s", nil, Agent, "since any core machine said anything; -1: never"},
	{"micaline_mesh_agent_feeds_up", Gauge, "feeds", nil, Agent, "core machines that it hears"},
	{"micaline_mesh_agent_feeds", Gauge, "feeds", nil, Agent, "core machines that it tries to hear"},
	{"micaline_mesh_agent_links_open", Gauge, "connections", nil, Agent, "to other agents' gates"},
	{"micaline_mesh_agent_links_made_total", Counter, "connections", nil, Agent, "made to other agents' gates"},

	{"micaline_mesh_core_role", Gauge, "0 or 1", []string{"role"}, Core, "1 for its role in the agreement"},
	{"micaline_mesh_core_leader_known", Gauge, "0 or 1", nil, Core, "it knows who leads"},
	{"micaline_mesh_core_leader_changes_total", Counter, "changes", nil, Core, "changes of the leader that it saw"},
	{"micaline_mesh_core_other_disk_messages_total", Counter, "messages", nil, Core, "messages for a disk that was at its address before; while they go on, the machine is not taken in again"},
	{"micaline_mesh_core_term", Gauge, "term", nil, Core, "term of the agreement"},
	{"micaline_mesh_core_commit_index", Gauge, "index", nil, Core, "of the log, agreed on"},
	{"micaline_mesh_core_applied_index", Gauge, "index", nil, Core, "of the log, carried out"},
	{"micaline_mesh_core_members", Gauge, "machines", nil, Core, "that vote"},
	{"micaline_mesh_core_syncs_total", Counter, "syncs", nil, Core, "of its disk"},
	{"micaline_mesh_core_sync_longest_seconds", Gauge, "s", nil, Core, "the longest of them in the life of the process"},
	{"micaline_mesh_core_proposals_total", Counter, "calls", []string{"result"}, Core, "calls of operators that were to be agreed on"},
	{"micaline_mesh_core_config_index", Gauge, "index", nil, Core, "of the configuration that holds"},
	{"micaline_mesh_core_feeds", Gauge, "feeds", nil, Core, "agents that it hears itself"},
	{"micaline_mesh_core_calls_dropped_total", Counter, "calls", []string{"reason"}, Core, "calls of operators without effect: read after their caller had gone, or refused elsewhere since they came"},
	{"micaline_mesh_core_agents_lost_total", Counter, "agents", nil, Core, "agents whose feed broke and did not come back at once"},
	{"micaline_mesh_core_stations", Gauge, "agents", []string{"state"}, Core, "agents that it knows"},
	{"micaline_mesh_core_backends_draining", Gauge, "backends", nil, Core, "backends that leave"},
	{"micaline_mesh_core_zone_evacuated", Gauge, "0 or 1", []string{"zone_name"}, Core, "1 for a zone that is evacuated"},

	{"micaline_mesh_usage_uncounted_total", Counter, "requests", nil, Agent,
		"that a backend began and no usage report will name: too many tenants, or the window was reported"},
	{"micaline_mesh_core_duty_fence", Gauge, "fence", []string{"duty"}, Core, "under which this machine holds the duty; 0: it does not"},
	{"micaline_mesh_core_duty_calls_total", Counter, "calls", []string{"duty", "result"}, Core,
		"to the platform: taken, refused for a higher fence, or without a clear answer"},
	{"micaline_mesh_core_usage_waiting", Gauge, "reports", nil, Core, "of usage that are fixed and that the platform has not taken"},
	{"micaline_mesh_core_usage_behind_seconds", Gauge, "s", nil, Core,
		"since the end of the oldest window that the platform has no report of; 0: there was none yet"},
	{"micaline_mesh_core_usage_lost_total", Counter, "windows", nil, Core, "of usage that were never reported and won't be"},

	{"micaline_mesh_core_window_step", Gauge, "steps", nil, Core, "of the window of maintenance that is not over, that are in force; 0: none"},
	{"micaline_mesh_core_window_waits", Gauge, "0 or 1", nil, Core, "1 if the window does not go on, as what stays would not bear it"},
	{"micaline_mesh_core_window_left", Gauge, "machines", nil, Core, "of the window, on which something is left; 0 where none is under way"},
	{"micaline_mesh_core_window_late_seconds", Gauge, "s", nil, Core, "since the start of the window's work, while it is not clear"},

	{"micaline_mesh_up", Gauge, "0 or 1", []string{"machine", "zone", "process"}, Exporter, "the process gave its figures"},
	{"micaline_mesh_leaders", Gauge, "machines", nil, Exporter, "core machines that say that they lead"},
	{"micaline_mesh_cores_silent", Gauge, "machines", nil, Exporter, "core machines, told or members, that gave no figures"},
	{"micaline_mesh_config_behind", Gauge, "0 or 1", []string{"machine", "zone"}, Exporter,
		"1 for an agent whose configuration is older than the newest that a core machine has"},
	{"micaline_mesh_scrape_seconds", Gauge, "s", nil, Exporter, "time taken to ask all"},
	{"micaline_mesh_dropped", Gauge, "figures", nil, Exporter, "figures left out: not in the table, or too many series"},
}
