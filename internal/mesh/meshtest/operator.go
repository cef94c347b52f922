package meshtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	orderFor  = 1200 * time.Millisecond // that a core machine has to answer
	pauseLow  = 50 * time.Millisecond   // before the next one is asked, doubling
	pauseHigh = 400 * time.Millisecond
)

// Operator changes the configuration, and sends each call again, unchanged, until there is a clear
// answer.
type Operator struct {
	g      *Cluster
	client *http.Client
	via    map[*Machine]string // where a core machine is reached, if not at its own address

	mu   sync.Mutex
	next int // core machine that is asked first
}

func newOperator(g *Cluster) *Operator {
	return &Operator{g: g, client: &http.Client{Transport: &http.Transport{Proxy: nil, DisableKeepAlives: true}}}
}

// Refused is that a call was refused for good.
type Refused struct {
	Status int
	Answer string
}

func (e *Refused) Error() string { return fmt.Sprintf("a call was refused: %d %s", e.Status, e.Answer) }

func (o *Operator) address(m *Machine) string {
	if at, there := o.via[m]; there {
		return at
	}
	return m.at(controlPort)
}

// order sends a call until it has a clear answer. It begins with a core machine, or with the one
// that answered last if that is nil.
func (o *Operator) order(ctx context.Context, first *Machine, method, path string, body []byte) (status int, answer []byte, err error) {
	o.mu.Lock()
	at := o.next
	o.mu.Unlock()
	for i, m := range o.g.Cores {
		if m == first {
			at = i
		}
	}
	pause := pauseLow
	for {
		one, cancel := context.WithTimeout(ctx, orderFor)
		status, answer := call(one, o.client, method, "http://"+o.address(o.g.Cores[at%len(o.g.Cores)])+path, body)
		cancel()
		if status != 0 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests && status < 500 {
			o.mu.Lock()
			o.next = at
			o.mu.Unlock()
			return status, answer, nil
		}
		at++
		wait := time.NewTimer(pause)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return 0, nil, fmt.Errorf("%s %s has no clear answer, %d last: %w", method, path, status, ctx.Err())
		}
		pause = min(2*pause, pauseHigh)
	}
}

// Change sends items until they are acknowledged; that they are refused is an error.
func (o *Operator) Change(ctx context.Context, items ...Item) error {
	return o.ChangeAt(ctx, nil, items...)
}

// ChangeAt begins with a core machine.
func (o *Operator) ChangeAt(ctx context.Context, first *Machine, items ...Item) error {
	return o.change(ctx, first, &Change{Items: items})
}

// Wrong sends items that must be refused as a whole.
func (o *Operator) Wrong(ctx context.Context, items ...Item) error {
	if err := o.change(ctx, nil, &Change{Items: items, Invalid: true}); err == nil {
		return fmt.Errorf("an invalid change was acknowledged")
	}
	return ctx.Err()
}

func (o *Operator) change(ctx context.Context, first *Machine, c *Change) error {
	body := c.encode()
	o.g.record.note(func(now time.Duration, s *Story) {
		c.Sent = now
		s.Changes = append(s.Changes, c)
	})
	status, answer, err := o.order(ctx, first, http.MethodPatch, "/api/config", body)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		o.g.record.note(func(time.Duration, *Story) { c.Invalid = true }) // nothing of it may hold
		return &Refused{status, string(answer)}
	}
	o.g.record.note(func(now time.Duration, _ *Story) { c.Acked = now })
	return nil
}

// Evacuate has a zone emptied.
func (o *Operator) Evacuate(ctx context.Context, zone string) error {
	if err := o.zone(ctx, http.MethodPost, zone); err != nil {
		return err
	}
	o.g.record.note(func(now time.Duration, s *Story) {
		s.Evacuations = append(s.Evacuations, &Evacuation{zone, Span{From: now}})
	})
	return nil
}

// HandDuty has the usage report given to another core machine by whoever holds it under a fence.
func (o *Operator) HandDuty(ctx context.Context, fence uint64, to *Machine) error {
	return o.moveDuty(ctx, "hand", map[string]any{"fence": fence, "to": to.Name})
}

// RevokeDuty has the usage report taken from whoever holds it under a fence.
func (o *Operator) RevokeDuty(ctx context.Context, fence uint64) error {
	return o.moveDuty(ctx, "revoke", map[string]any{"fence": fence, "why": "by hand"})
}

func (o *Operator) moveDuty(ctx context.Context, what string, order map[string]any) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	status, answer, err := o.order(ctx, nil, http.MethodPost, "/api/duties/usage_report/"+what, body)
	if err == nil && status != http.StatusOK {
		err = &Refused{status, string(answer)}
	}
	return err
}

// Return takes an evacuation back.
func (o *Operator) Return(ctx context.Context, zone string) error {
	o.g.record.note(func(now time.Duration, s *Story) {
		for _, e := range s.Evacuations {
			if e.Zone == zone && e.Until == 0 {
				e.Until = now
			}
		}
	})
	return o.zone(ctx, http.MethodDelete, zone)
}

func (o *Operator) zone(ctx context.Context, method, zone string) error {
	status, answer, err := o.order(ctx, nil, method, "/api/drain-zone/"+zone, nil)
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("%s of %s: %w", method, zone, &Refused{status, string(answer)})
	}
	return err
}

// Read reads the configuration back from one core machine.
func (o *Operator) Read(ctx context.Context, m *Machine) ([]Item, error) {
	for {
		one, cancel := context.WithTimeout(ctx, orderFor)
		status, text := call(one, o.client, http.MethodGet, "http://"+m.at(controlPort)+"/api/config", nil)
		cancel()
		if status == http.StatusOK {
			return decode(text)
		}
		wait := time.NewTimer(pauseHigh)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return nil, fmt.Errorf("%s answers no read, %d last: %w", m.Name, status, ctx.Err())
		}
	}
}
