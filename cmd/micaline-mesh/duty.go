package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/micaline/internal/mesh/meshclient"
	"example.org/micaline/internal/mesh/transport"
)

// dutyRow is what there is to tell of a duty.
type dutyRow struct {
	Duty    string  `json:"duty"`
	Holder  string  `json:"holder"` // empty: nobody
	Fence   uint64  `json:"fence"`
	HeldS   float64 `json:"held_s"` // about, by its renewals
	Window  int64   `json:"window"` // the last that is fixed
	Waiting int     `json:"waiting"`
	BehindS float64 `json:"behind_s"`
	Taken   uint64  `json:"taken"`
	Lost    uint64  `json:"lost"`
	Why     string  `json:"why"`
}

// dutyStates are the duties as the core machine knows them that has carried out most of the log.
func (c *command) dutyStates() ([]transport.DutyState, error) {
	s, err := c.survey(false)
	if err != nil {
		return nil, err
	}
	return dutiesOf(s)
}

func dutiesOf(s *meshclient.Survey) ([]transport.DutyState, error) {
	var newest *transport.CoreState
	for _, core := range s.Cores {
		if core.Figures != nil && (newest == nil || core.Figures.Core.Applied > newest.Applied) {
			newest = core.Figures.Core
		}
	}
	if newest == nil || len(newest.Duties) == 0 {
		return nil, fmt.Errorf("this mesh has no duties: its settings name none in cloud_api.duties")
	}
	return newest.Duties, nil
}

func (c *command) dutyShow() error {
	states, err := c.dutyStates()
	if err != nil {
		return err
	}
	var list []dutyRow
	var rows [][]string
	for _, d := range states {
		held := time.Duration(d.Renewed) * d.Term / 3
		r := dutyRow{Duty: d.Duty, Holder: d.Holder, Fence: d.Fence, HeldS: held.Seconds(), Window: d.Through, Waiting: d.Waiting,
			BehindS: d.Behind.Seconds(), Taken: d.Taken, Lost: d.Lost, Why: d.Why}
		list = append(list, r)
		rows = append(rows, []string{d.Duty, orDash(d.Holder), number(d.Fence), held.Round(time.Second).String(), strconv.FormatInt(d.Through, 10),
			strconv.Itoa(d.Waiting), d.Behind.Round(100 * time.Millisecond).String(), number(d.Taken), number(d.Lost), d.Why})
	}
	if c.json {
		return c.printJSON(list)
	}
	c.table("DUTY HOLDER FENCE HELD WINDOW WAITING BEHIND TAKEN LOST WHY", rows)
	return nil
}

func (c *command) dutyHistory() error {
	states, err := c.dutyStates()
	if err != nil {
		return err
	}
	moves := []transport.DutyMove{}
	var rows [][]string
	for _, m := range states[0].History { // one history for all
		moves = append(moves, m)
		rows = append(rows, []string{number(m.Number), m.Duty, orDash(m.Holder), number(m.Fence), m.Why})
	}
	if c.json {
		return c.printJSON(moves)
	}
	c.table("STEP DUTY HOLDER FENCE WHY", rows)
	return nil
}

// dutyHand gives a duty to another core machine: its holder ends what it does and lets go.
func (c *command) dutyHand() error {
	if c.to == "" {
		return misused("duty hand: --to names no core machine")
	}
	return c.moveDuty((*meshclient.Mesh).HandDuty, "to be handed to "+c.to)
}

// dutyRevoke takes a duty from its holder, who may act until its time is over.
func (c *command) dutyRevoke() error {
	if c.why == "" {
		return misused("duty revoke: --why gives no reason")
	}
	return c.moveDuty((*meshclient.Mesh).RevokeDuty, "revoked")
}

// moveDuty brings an order about the present grant of a duty.
func (c *command) moveDuty(call func(*meshclient.Mesh, context.Context, string, meshclient.DutyOrder) error, what string) error {
	s, err := c.survey(false)
	if err != nil {
		return err
	}
	states, err := dutiesOf(s)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(states, func(d transport.DutyState) bool { return d.Duty == c.duty })
	if i < 0 {
		return fmt.Errorf("duty: this mesh has no %s", c.duty)
	}
	if c.to != "" {
		if names := coreNames(s); !slices.Contains(names, c.to) {
			return fmt.Errorf("to: no core machine that answers is called %s; there are %s", c.to, strings.Join(names, ", "))
		}
	}
	m, ctx, cancel, err := c.mesh()
	if err != nil {
		return err
	}
	defer cancel()
	fence := states[i].Fence
	if err := call(m, ctx, c.duty, meshclient.DutyOrder{Fence: fence, To: c.to, Why: c.why}); err != nil {
		return err
	}
	return c.say(map[string]any{"duty": c.duty, "fence": fence, "order": what}, "%s, fence %d: %s", c.duty, fence, what)
}

// coreNames are the core machines that have answered.
func coreNames(s *meshclient.Survey) []string {
	var names []string
	for _, core := range s.Cores {
		if core.Figures != nil {
			names = append(names, core.Figures.Core.Node)
		}
	}
	slices.Sort(names)
	return names
}
