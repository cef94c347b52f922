package maintenance

import (
	"errors"
	"fmt"
	"time"
)

// PlanDocument is the body of POST /api/windows. Times are in RFC 3339, Lead is a duration like
// 90s.
type PlanDocument struct {
	Name  string    `json:"name"`
	Zones []string  `json:"zones,omitempty"`
	Nodes []string  `json:"nodes,omitempty"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
	Lead  string    `json:"lead"`
	By    string    `json:"by,omitempty"`
	Why   string    `json:"why,omitempty"`
	Force bool      `json:"force,omitempty"`
}

// StateDocument is a window in the response to GET /api/windows.
type StateDocument struct {
	PlanDocument
	Phase    Phase    `json:"phase"`
	Step     int      `json:"step"`
	Steps    int      `json:"steps"`
	Clear    bool     `json:"clear"`
	Waits    string   `json:"waits,omitempty"`
	Ended    string   `json:"ended,omitempty"`
	Left     []string `json:"left,omitempty"`     // what is still active on its machines
	Forecast []Share  `json:"forecast,omitempty"` // utilization without its machines, the highest first
}

// Window converts a plan into a Window. The error names the invalid field.
func (p *PlanDocument) Window() (*Window, error) {
	switch {
	case p.Start.IsZero():
		return nil, errors.New("start: missing")
	case p.End.IsZero():
		return nil, errors.New("end: missing")
	}
	lead, err := time.ParseDuration(p.Lead)
	if err != nil {
		return nil, fmt.Errorf("lead: %q is not a duration like 90s", p.Lead)
	}
	return &Window{Name: p.Name, Zones: p.Zones, Nodes: p.Nodes, Start: time.Duration(p.Start.UnixNano()),
		End: time.Duration(p.End.UnixNano()), Lead: lead, By: p.By, Why: p.Why, Forced: p.Force}, nil
}

// Document converts the replicated state of a window. The fields that only one node knows, Left and
// Forecast, stay empty.
func (w *Window) Document() StateDocument {
	plan := PlanDocument{Name: w.Name, Zones: w.Zones, Nodes: w.Nodes, Start: wallTime(w.Start), End: wallTime(w.End), Lead: w.Lead.String(),
		By: w.By, Why: w.Why, Force: w.Forced}
	return StateDocument{PlanDocument: plan, Phase: w.Phase, Step: w.Step, Steps: LastStep, Clear: w.Clear, Waits: w.Waits, Ended: w.Ended}
}

func wallTime(at time.Duration) time.Time { return time.Unix(0, int64(at)).UTC() }
