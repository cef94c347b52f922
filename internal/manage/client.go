package manage

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"example.org/micaline/internal/api"
)

// Client sends requests to a manager.
type Client struct{ caller *api.Caller }

// NewClient returns a client that sends its requests through caller.
func NewClient(caller *api.Caller) *Client { return &Client{caller} }

// Status returns the status of the manager.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var v Status
	return &v, c.caller.Call(ctx, http.MethodGet, "manager", nil, nil, &v)
}

// TakeOver makes the manager choose a fence higher than all known ones, so that it replaces other
// managers.
func (c *Client) TakeOver(ctx context.Context) (*Status, error) {
	var v Status
	return &v, c.caller.Call(ctx, http.MethodPost, "takeover", nil, nil, &v)
}

// Instances returns the instances that match a selector.
func (c *Client) Instances(ctx context.Context, selector string) (v []InstanceReport, err error) {
	return v, c.caller.Call(ctx, http.MethodGet, "instances?select="+url.QueryEscape(selector), nil, nil, &v)
}

// Announce sends the address and labels of an instance to the manager.
func (c *Client) Announce(ctx context.Context, name string, a *Announcement) error {
	var v Announcement
	return c.caller.Call(ctx, http.MethodPut, "announcements/"+url.PathEscape(name), nil, a, &v)
}

// announceInterval is the time between two announcements of an instance.
const announceInterval = 5 * time.Second

// KeepAnnouncing announces an instance periodically until the context ends. It logs the outcome
// when it differs from the previous one.
func (c *Client) KeepAnnouncing(ctx context.Context, name string, a *Announcement, log *slog.Logger) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	lastOutcome := "not yet"
	for {
		outcome := ""
		if err := c.Announce(ctx, name, a); err != nil {
			outcome = err.Error()
		}
		if outcome != lastOutcome && ctx.Err() == nil {
			if lastOutcome = outcome; outcome == "" {
				log.Info("announced to the manager", "at", a.Addr)
			} else {
				log.Warn("not announced to the manager", "error", outcome)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Plan returns the effect that an order would have.
func (c *Client) Plan(ctx context.Context, o *Order) (*Plan, error) {
	var v Plan
	return &v, c.caller.Call(ctx, http.MethodPost, "plans", nil, o, &v)
}

// StartRollout starts a rollout. The ID makes it idempotent.
func (c *Client) StartRollout(ctx context.Context, id string, o *Order) (*Report, error) {
	var v Report
	return &v, c.caller.Call(ctx, http.MethodPut, "rollouts/"+url.PathEscape(id), nil, o, &v)
}

// Report returns the report of a rollout.
func (c *Client) Report(ctx context.Context, id string) (*Report, error) {
	var v Report
	return &v, c.caller.Call(ctx, http.MethodGet, "rollouts/"+url.PathEscape(id), nil, nil, &v)
}

// Reports returns the reports of all rollouts, newest first, without their instances.
func (c *Client) Reports(ctx context.Context) (v []*Report, err error) {
	return v, c.caller.Call(ctx, http.MethodGet, "rollouts", nil, nil, &v)
}

// ControlRollout applies AbortAction, ResumeAction or RollbackAction to a rollout. If leave is
// true, a resumed rollout leaves out the instances that did not apply the change.
func (c *Client) ControlRollout(ctx context.Context, id, action string, leave bool) (*Report, error) {
	var v Report
	return &v, c.caller.Call(ctx, http.MethodPost, "rollouts/"+url.PathEscape(id)+"/"+action, nil, map[string]bool{"leave": leave}, &v)
}
