package main

import (
	"fmt"
	"strconv"
	"time"

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
	var newest *transport.CoreState
	for _, core := range s.Cores {
		if core.Figures != nil && (newest == nil || core.Figures.Core.Applied > newest.Applied) {
			newest = core.Figures.Core
		}
	}
	if len(newest.Duties) == 0 {
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
