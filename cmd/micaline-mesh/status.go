package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"example.org/micaline/internal/mesh/meshclient"
)

// coreRow is what there is to tell of a core machine.
type coreRow struct {
	Core     string   `json:"core"`
	Node     string   `json:"node,omitempty"`
	Zone     string   `json:"zone,omitempty"`
	Role     string   `json:"role,omitempty"`
	Leader   string   `json:"leader,omitempty"`
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`
	Index    uint64   `json:"index"`
	Members  []string `json:"members"`
	Learners []string `json:"learners,omitempty"`
	Outgoing []string `json:"outgoing,omitempty"`
	Feeds    int      `json:"feeds"`
	Error    string   `json:"error,omitempty"`
}

// agentRow is what there is to tell of an agent.
type agentRow struct {
	Agent   string   `json:"agent"`
	Zone    string   `json:"zone"`
	Service string   `json:"service,omitempty"`
	Ready   bool     `json:"ready"`
	Lost    bool     `json:"lost"`
	Index   uint64   `json:"index"`
	Behind  bool     `json:"behind"` // of the newest index
	ProvenS *float64 `json:"proven_s"`
	HeardS  *float64 `json:"heard_s"`
	Feeds   int      `json:"feeds"`
	Backend *server  `json:"backend"`
	Error   string   `json:"error,omitempty"`
}

// survey asks the mesh.
func (c *command) survey(agents bool) (*meshclient.Survey, error) {
	m, ctx, cancel, err := c.mesh()
	if err != nil {
		return nil, err
	}
	defer cancel()
	s := m.Look(ctx, agents)
	if s.Newest() == nil {
		return nil, &meshclient.Unreachable{Cause: fmt.Errorf("no core machine gives its figures; %s: %w", s.Cores[0].Control, s.Cores[0].Err)}
	}
	return s, nil
}

func (c *command) status() error {
	s, err := c.survey(true)
	if err != nil {
		return err
	}
	cores, agents, newest := coreRows(s), agentRows(s), s.Newest()
	if c.json {
		evacuated := append([]string{}, newest.Evacuated...)
		return c.printJSON(map[string]any{"index": newest.Index, "evacuated": evacuated, "cores": cores, "agents": agents})
	}
	fmt.Fprintf(c.out, "configuration %d, evacuated: %s\n\n", newest.Index, orDash(strings.Join(newest.Evacuated, " ")))
	var rows [][]string
	for _, r := range cores {
		if r.Error != "" {
			rows = append(rows, []string{r.Core, "-", "silent", "-", "-", "-", "-", "-", "-", r.Error})
			continue
		}
		rows = append(rows, []string{r.Core, r.Zone, r.Role, orDash(r.Leader), number(r.Term), number(r.Commit), number(r.Index),
			strconv.Itoa(len(r.Members)), strconv.Itoa(r.Feeds), r.change()})
	}
	c.table("CORE ZONE ROLE LEADER TERM COMMIT INDEX MEMBERS FEEDS ", rows)
	fmt.Fprintln(c.out)
	rows = nil
	for _, r := range agents {
		id, state := "-", "none"
		if r.Backend != nil {
			id, state = r.Backend.ID, r.Backend.State
		}
		if r.Error != "" {
			rows = append(rows, []string{r.Agent, r.Zone, r.word(), "-", "-", "-", "-", id, state, r.Error})
			continue
		}
		rows = append(rows, []string{r.Agent, r.Zone, r.word(), number(r.Index), age(r.ProvenS), age(r.HeardS), strconv.Itoa(r.Feeds), id, state, ""})
	}
	c.table("AGENT ZONE STATE INDEX PROVEN HEARD FEEDS BACKEND IS ", rows)
	return nil
}

func coreRows(s *meshclient.Survey) (rows []coreRow) {
	for _, core := range s.Cores {
		if core.Figures == nil {
			rows = append(rows, coreRow{Core: core.Control, Error: core.Err.Error()})
			continue
		}
		f := core.Figures.Core
		r := coreRow{Core: core.Control, Node: f.Node, Zone: f.Zone, Role: f.Role, Leader: f.Leader, Term: f.Term, Commit: f.Commit,
			Index: f.Index, Learners: f.Learners, Outgoing: f.Outgoing, Feeds: f.Feeds}
		for _, m := range f.Members {
			r.Members = append(r.Members, m.Control)
		}
		rows = append(rows, r)
	}
	return rows
}

// change tells which members are being replaced.
func (r *coreRow) change() string {
	if len(r.Outgoing) == 0 {
		return ""
	}
	return "replacing " + strings.Join(r.Outgoing, " ")
}

func agentRows(s *meshclient.Survey) []agentRow {
	rows, newest := []agentRow{}, s.Newest().Index
	for i := range s.Agents {
		a := &s.Agents[i]
		r := agentRow{Agent: a.Heard.Station.Agent, Zone: a.Heard.Station.Zone, Lost: a.Heard.Lost, Backend: serverOf(&a.Heard)}
		if a.Figures == nil {
			r.Error = a.Err.Error()
		} else {
			f := a.Figures.Agent
			r.Service, r.Ready, r.Index, r.Feeds = f.Service, f.Ready, f.Index, f.Feeds
			r.Behind, r.ProvenS, r.HeardS = f.Index < newest, seconds(f.Proven), seconds(f.Unheard)
		}
		rows = append(rows, r)
	}
	return rows
}

// word is an agent's state in a word.
func (r *agentRow) word() string {
	switch {
	case r.Lost:
		return "lost"
	case r.Error != "":
		return "silent"
	case r.Behind:
		return "behind"
	case !r.Ready:
		return "not-ready"
	}
	return "ready"
}

// seconds is nil for what has never been.
func seconds(d time.Duration) *float64 {
	if d < 0 {
		return nil
	}
	s := d.Round(time.Millisecond).Seconds()
	return &s
}

func age(s *float64) string {
	if s == nil {
		return "never"
	}
	return time.Duration(*s * float64(time.Second)).Round(100 * time.Millisecond).String()
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
