package scenario

import (
	"slices"
)

// Fault is something that goes wrong.
type Fault struct {
	Kind    string
	At, For Duration
	Share   float64  // of the backends or agents that it hits
	Count   int      // or so many of them
	Every   Duration // between one that it hits and the next
	Size    float64  // how bad, in the kind's own unit
	Account string
	Zone    string   // hits only those there; "" for anywhere
	Other   string   // of site-cut: the zone that it is cut off from; "" for all others
	Way     string   // of site-cut: only what leaves the zone, out, or what comes in, in; "" for both
	Times   int      // that it comes; 0 for once
	Pause   Duration // between them
}

// Kinds of faults, and what Size means to each: its range, or none if both are 0.
var kinds = map[string]struct {
	what     string
	min, max float64
	agents   bool // hits agents, not backends
	link     bool // is one of connections
	all      bool // hits neither: share, count and every mean nothing
}{
	"hang":           {what: "backends take requests and answer nothing"},
	"swallow":        {what: "backends swallow some requests", min: 0, max: 1},
	"errors":         {what: "backends answer some requests with 500", min: 0, max: 1},
	"spoil":          {what: "backends spoil some answers", min: 0, max: 1},
	"rejects":        {what: "backends turn some requests away", min: 0, max: 1},
	"neighbour":      {what: "another program takes part of the machine", min: 0, max: 0.95},
	"restart":        {what: "processes die and come back cold at the same address"},
	"drain":          {what: "backends drain, end and come back cold"},
	"replace":        {what: "backends end and others come up cold at their addresses"},
	"hold":           {what: "operators take backends out, restart them and put them back"},
	"vanish":         {what: "machines are cut off without a word", link: true},
	"loss":           {what: "packets to and from backends are lost", link: true, min: 0, max: 0.9},
	"unlist":         {what: "backends vanish from the list and live on"},
	"move":           {what: "backends end and come up cold at other addresses"},
	"site-cut":       {what: "a site is cut off from others", link: true, all: true},
	"refuse":         {what: "connections to backends are refused", link: true},
	"delay":          {what: "links to backends get slow", link: true, min: 0, max: 1000},
	"trickle":        {what: "answers come byte by byte", link: true, min: 0, max: 100},
	"stall-requests": {what: "requests to backends get stuck on their way", link: true},
	"stall-answers":  {what: "answers of backends get stuck on their way", link: true},
	"reset-requests": {what: "connections break within requests", link: true, min: 0, max: 1},
	"reset-answers":  {what: "connections break within answers", link: true, min: 0, max: 1},
	"half-close":     {what: "backends' sides close within answers", link: true, min: 0, max: 1},
	"client-reset":   {what: "connections between clients and agents break", link: true, min: 0, max: 1, agents: true},
	"kill-agent":     {what: "agents die and come back", agents: true},
	"freeze-agent":   {what: "agents get no processor", agents: true},
	"restart-agent":  {what: "agents are told to end and come back", agents: true},
	"upgrade-agent":  {what: "agents are replaced by new processes beside them", agents: true},
	"drain-agent":    {what: "operators drain agents", agents: true},
	"reload-agent":   {what: "agents are given another address of discovery", agents: true},
	"list-down":      {what: "discovery is down", all: true},
	"list-silent":    {what: "discovery says nothing", all: true},
	"list-garbled":   {what: "discovery's answers can't be used", all: true},
	"list-restart":   {what: "discovery starts anew, with lower revisions", all: true},
	"list-late":      {what: "changes are listed late", min: 0, max: 60, all: true},
	"flood":          {what: "an account asks for a multiple", min: 1, max: 100, all: true},
	"impatience":     {what: "clients hang up early", min: 0, max: 1, all: true},
	"rude":           {what: "clients are rude", min: 0, max: 10, all: true},
}

// Describe says what a kind of fault is.
func Describe(kind string) string { return kinds[kind].what }

// HitsAgents says whether a kind of fault hits agents, not backends.
func (f *Fault) HitsAgents() bool { return kinds[f.Kind].agents }

// HitsAll says whether a kind of fault hits neither backends nor agents but what they share.
func (f *Fault) HitsAll() bool { return kinds[f.Kind].all }

// TroublesLinks says whether anything goes wrong with connections.
func (s *Scenario) TroublesLinks() bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return kinds[f.Kind].link })
}
