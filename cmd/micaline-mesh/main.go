// Command micaline-mesh is the mesh's daemon, the agent beside
// each application backend and the control plane on core machines, and the operators' command line:
// docs/mesh-tools.md.
package main

import (
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/integrii/flaggy"
)

const settingsVariable = "MICALINE_CONFIG"

// command is one call of the program.
type command struct {
	out      io.Writer
	settings string
	cores    string
	timeout  time.Duration
	json     bool
	file     string
	zone     string
	data     string
	newMesh  bool
	request  string
	agentIP  string
	reason   string
	number   int
	window   windowFlags
	region   string
	duty     string
	to       string
	why      string
}

// verb is a sub-command and what it does.
type verb struct {
	sub *flaggy.Subcommand
	run func() error
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run carries out a call and returns its exit code.
func run(args []string, out, errs io.Writer) int {
	c := &command{out: out, settings: os.Getenv(settingsVariable), timeout: 10 * time.Second, number: 20}
	p := flaggy.NewParser("micaline-mesh")
	p.Description = "the mesh's daemon, an agent beside each backend and the control plane, and its command line"
	p.Version = version()
	p.String(&c.settings, "s", "settings", "settings file; "+settingsVariable+" by default")
	p.String(&c.cores, "c", "core", "control addresses of core machines, host:port,...")
	p.Duration(&c.timeout, "t", "timeout", "for the whole call, however many core machines are tried")
	p.Bool(&c.json, "j", "json", "print JSON")
	verbs := c.verbs(&p.Subcommand)
	if err := p.ParseArgs(args); err != nil {
		return report(errs, &usage{err})
	}
	for _, v := range verbs {
		if v.sub.Used {
			return report(errs, v.run())
		}
	}
	p.ShowHelpAndExit("name what to do")
	return wrongUse
}

// verbs declares the sub-commands, the inner before the outer.
func (c *command) verbs(top *flaggy.Subcommand) []verb {
	var verbs []verb
	add := func(under *flaggy.Subcommand, name, what string, run func() error) *flaggy.Subcommand {
		sub := flaggy.NewSubcommand(name)
		sub.Description = what
		under.AttachSubcommand(sub, 1)
		if run != nil {
			verbs = append(verbs, verb{sub, run})
		}
		return sub
	}
	add(top, "agent", "run the agent beside a backend", c.agent)
	add(top, "core", "run the control plane on a core machine", c.core)
	check := add(top, "check", "check a file: settings, or a change of the configuration", c.check)
	check.AddPositionalValue(&c.file, "FILE", 1, false, "the settings by default")
	add(top, "status", "tell who leads, and which agents hold which configuration", c.status)
	add(top, "servers", "list the backends", c.servers)
	config := add(top, "config", "read or change the configuration", nil)
	add(config, "get", "print the items that stand", c.configGet)
	for _, v := range []struct {
		name, what string
		run        func() error
	}{
		{"put", "bring a change", c.configPut},
		{"check", "check a change against the configuration that holds", c.configCheck},
		{"diff", "tell what a change would change", c.configDiff},
	} {
		add(config, v.name, v.what, v.run).AddPositionalValue(&c.file, "FILE", 1, true, "a PATCH body or what get prints; - is standard input")
	}
	requests := add(top, "requests", "tell what became of requests that did not simply succeed", nil)
	why := add(requests, "why", "tell the way of one request", c.requestsWhy)
	why.AddPositionalValue(&c.request, "ID", 1, true, "its Try-Id")
	last := add(requests, "last", "list the last of them", c.requestsLast)
	last.String(&c.agentIP, "a", "agent", "only of the agent with this ip")
	last.String(&c.reason, "r", "reason", "only with an attempt that ended for this reason, or with this result")
	last.Int(&c.number, "n", "number", "how many")
	t := &trial{out: c.out, agents: 6, seconds: 15, rate: 15, trouble: "kill-core"}
	t.flags(add(top, "try", "start a small mesh on loopback, send requests through it and judge it", t.run))
	add(top, "evacuate", "have nothing sent to the backends of a zone", c.evacuate).
		AddPositionalValue(&c.zone, "ZONE", 1, true, "name of the zone")
	add(top, "return", "take the evacuation of a zone back", c.returnZone).
		AddPositionalValue(&c.zone, "ZONE", 1, true, "name of the zone")
	duty := add(top, "duty", "tell who carries out the duties at the platform", nil)
	add(duty, "show", "list the duties: holder, fence, last report", c.dutyShow)
	add(duty, "history", "list how the duties moved", c.dutyHistory)
	hand := add(duty, "hand", "have a duty's holder give it to another core machine", c.dutyHand)
	hand.String(&c.to, "", "to", "name of the core machine")
	revoke := add(duty, "revoke", "take a duty from its holder, whoever gets it then", c.dutyRevoke)
	revoke.String(&c.why, "w", "why", "the reason, for the history")
	for _, sub := range []*flaggy.Subcommand{hand, revoke} {
		sub.AddPositionalValue(&c.duty, "DUTY", 1, true, "its name, as show lists it")
	}
	region := add(top, "region", "tell what the loss of a region would mean", nil)
	add(region, "plan", "where its work would go, and what would be refused first", c.regionPlan).
		AddPositionalValue(&c.region, "REGION", 1, true, "a region, or a zone")
	window := c.windowVerbs(top, add)
	c.stateVerbs(top, add)
	return append(verbs, window, verb{config, func() error { return misused("config: get, put, check or diff?") }},
		verb{region, func() error { return misused("region: plan?") }},
		verb{requests, func() error { return misused("requests: why or last?") }},
		verb{duty, func() error { return misused("duty: show, history, hand or revoke?") }})
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
