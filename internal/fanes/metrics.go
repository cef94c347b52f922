package fanes

// Results of requests at an agent, of calls at a core machine, and states of a backend at its gate.
var (
	Results   = []string{"served", "backend_failed", "refused", "failed", "no_route", "bad"}
	Proposals = []string{"agreed", "refused", "unknown", "not_taken"}
	Backends  = []string{"none", "ready", "cold", "draining", "evacuated", "blind"}
	Roles     = []string{"leader", "follower", "candidate", "learner", "recovering"}
	Stations  = []string{"open", "shut", "lost"}
)

// Metrics is the table.
var Metrics = []Metric{
	{"altavia_uptime_seconds", Gauge, "s", nil, Both, "age of the process"},
	{"altavia_memory_bytes", Gauge, "bytes", nil, Both, "memory that the runtime holds"},
	{"altavia_memory_limit_bytes", Gauge, "bytes", nil, Both, "`limits.memory_mb` of the settings; 0: none"},

	{"altavia_requests_taken_total", Counter, "requests", nil, Agent, "requests of clients and of the backend on the machine"},
	{"altavia_requests_ended_total", Counter, "requests", []string{"result"}, Agent, "what became of them"},
	{"altavia_requests_held", Gauge, "requests", nil, Agent, "taken and not ended"},
	{"altavia_attempts_total", Counter, "attempts", nil, Agent, "requests handed to gates"},
	{"altavia_attempts_repeated_total", Counter, "attempts", nil, Agent, "of these, beyond a request's first"},
	{"altavia_attempts_local_total", Counter, "attempts", nil, Agent, "of these, to the gate on the same machine"},
	{"altavia_attempts_unanswered_total", Counter, "attempts", []string{"verdict", "reason"}, Agent,
		"attempts without a backend's answer, by whether the request may have run, and why"},
	{"altavia_budget_spent", Gauge, "attempts", []string{"service"}, Agent, "further attempts in the last `retry_window`"},
	{"altavia_budget_allowed", Gauge, "attempts", []string{"service"}, Agent, "the agent's part of the retry budget in it"},

	{"altavia_gate_handed_total", Counter, "requests", nil, Agent, "handed over to the backend"},
	{"altavia_gate_answered_total", Counter, "requests", nil, Agent, "of these, answered by it"},
	{"altavia_gate_failed_total", Counter, "requests", nil, Agent, "of these, ended without its answer"},
	{"altavia_gate_refused_total", Counter, "requests", []string{"reason"}, Agent, "refused by the gate; none of them ran"},
	{"altavia_gate_in_flight", Gauge, "requests", nil, Agent, "in work at the backend"},
	{"altavia_gate_waiting", Gauge, "requests", nil, Agent, "waiting for a slot"},
	{"altavia_gate_capacity", Gauge, "requests", nil, Agent, "that the backend works on at once; 0: no backend"},
	{"altavia_gate_cold_peak", Gauge, "requests a second", nil, Agent,
		"the most that a cold backend got in any second of the last 30 to 60 s"},
	{"altavia_gate_cold_bound", Gauge, "requests a second", nil, Agent, "what the rules let a cold backend get; 0: no warm-up"},
	{"altavia_gate_backend_state", Gauge, "0 or 1", []string{"state"}, Agent, "1 for the state of the backend"},

	{"altavia_agent_ready", Gauge, "0 or 1", nil, Agent, "answers readiness with 200"},
	{"altavia_agent_config_index", Gauge, "index", nil, Agent, "index of the configuration that it has; 0: none"},
	{"altavia_agent_config_proven_seconds", Gauge, "s", nil, Agent,
		"since a core machine last proved it current, which it does when a feed opens; -1: never"},
	{"altavia_agent_unheard_seconds", Gauge, "s", nil, Agent, "since any core machine said anything; -1: never"},
	{"altavia_agent_feeds_up", Gauge, "feeds", nil, Agent, "core machines that it hears"},
	{"altavia_agent_feeds", Gauge, "feeds", nil, Agent, "core machines that it tries to hear"},
	{"altavia_agent_links_open", Gauge, "connections", nil, Agent, "to other agents' gates"},
	{"altavia_agent_links_made_total", Counter, "connections", nil, Agent, "made to other agents' gates"},

	{"altavia_core_role", Gauge, "0 or 1", []string{"role"}, Core, "1 for its role in the agreement"},
	{"altavia_core_leader_known", Gauge, "0 or 1", nil, Core, "it knows who leads"},
	{"altavia_core_leader_changes_total", Counter, "changes", nil, Core, "changes of the leader that it saw"},
	{"altavia_core_term", Gauge, "term", nil, Core, "term of the agreement"},
	{"altavia_core_commit_index", Gauge, "index", nil, Core, "of the log, agreed on"},
	{"altavia_core_applied_index", Gauge, "index", nil, Core, "of the log, carried out"},
	{"altavia_core_members", Gauge, "machines", nil, Core, "that vote"},
	{"altavia_core_syncs_total", Counter, "syncs", nil, Core, "of its disk"},
	{"altavia_core_sync_longest_seconds", Gauge, "s", nil, Core, "the longest of them in the life of the process"},
	{"altavia_core_proposals_total", Counter, "calls", []string{"result"}, Core, "calls of operators that were to be agreed on"},
	{"altavia_core_config_index", Gauge, "index", nil, Core, "of the configuration that holds"},
	{"altavia_core_feeds", Gauge, "feeds", nil, Core, "agents that it hears itself"},
	{"altavia_core_agents_lost_total", Counter, "agents", nil, Core, "agents whose feed broke and did not come back at once"},
	{"altavia_core_stations", Gauge, "agents", []string{"state"}, Core, "agents that it knows"},
	{"altavia_core_backends_draining", Gauge, "backends", nil, Core, "backends that leave"},
	{"altavia_core_zone_evacuated", Gauge, "0 or 1", []string{"zone_name"}, Core, "1 for a zone that is evacuated"},

	{"altavia_up", Gauge, "0 or 1", []string{"machine", "zone", "process"}, Exporter, "the process gave its figures"},
	{"altavia_mesh_leaders", Gauge, "machines", nil, Exporter, "core machines that say that they lead"},
	{"altavia_mesh_cores_silent", Gauge, "machines", nil, Exporter, "core machines, told or members, that gave no figures"},
	{"altavia_mesh_config_behind", Gauge, "0 or 1", []string{"machine", "zone"}, Exporter,
		"1 for an agent whose configuration is older than the newest that a core machine has"},
	{"altavia_mesh_scrape_seconds", Gauge, "s", nil, Exporter, "time taken to ask all"},
	{"altavia_mesh_dropped", Gauge, "figures", nil, Exporter, "figures left out: not in the table, or too many series"},
}
