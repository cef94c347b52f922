package manage

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"example.org/micaline/internal/api"
)

// Client talks to a manager.
type Client struct{ at *api.Caller }

// NewClient returns a client of the manager that a caller calls.
func NewClient(at *api.Caller) *Client { return &Client{at} }

// Status asks the manager for what it says of itself.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var v Status
	return &v, c.at.Call(ctx, http.MethodGet, "manager", nil, nil, &v)
}

// TakeOver gives the manager a number above all that were heard.
func (c *Client) TakeOver(ctx context.Context) (*Status, error) {
	var v Status
	return &v, c.at.Call(ctx, http.MethodPost, "takeover", nil, nil, &v)
}

// Instances asks for the instances that a selector chooses.
func (c *Client) Instances(ctx context.Context, selector string) (v []InstanceReport, err error) {
	return v, c.at.Call(ctx, http.MethodGet, "instances?select="+url.QueryEscape(selector), nil, nil, &v)
}

// Announce says where an instance is.
func (c *Client) Announce(ctx context.Context, name string, a *Announcement) error {
	var v Announcement
	return c.at.Call(ctx, http.MethodPut, "announcements/"+url.PathEscape(name), nil, a, &v)
}

// announceEvery is how often an instance says where it is.
const announceEvery = 5 * time.Second

// KeepAnnouncing says where an instance is, again and again until the context ends. What keeps it from that is logged
// when it changes.
func (c *Client) KeepAnnouncing(ctx context.Context, name string, a *Announcement, log *slog.Logger) {
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	last := "not yet"
	for {
		now := ""
		if err := c.Announce(ctx, name, a); err != nil {
			now = err.Error()
		}
		if now != last && ctx.Err() == nil {
			if last = now; now == "" {
				log.Info("announced to the manager", "at", a.Addr)
			} else {
				log.Warn("not announced to the manager", "error", now)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Plan asks what an order would do.
func (c *Client) Plan(ctx context.Context, o *Order) (*Plan, error) {
	var v Plan
	return &v, c.at.Call(ctx, http.MethodPost, "plans", nil, o, &v)
}

// Begin begins a rollout, once under its id.
func (c *Client) StartRollout(ctx context.Context, id string, o *Order) (*Report, error) {
	var v Report
	return &v, c.at.Call(ctx, http.MethodPut, "rollouts/"+url.PathEscape(id), nil, o, &v)
}

// Report asks what became of a rollout.
func (c *Client) Report(ctx context.Context, id string) (*Report, error) {
	var v Report
	return &v, c.at.Call(ctx, http.MethodGet, "rollouts/"+url.PathEscape(id), nil, nil, &v)
}

// Reports asks for all rollouts, the newest first, without their instances.
func (c *Client) Reports(ctx context.Context) (v []*Report, err error) {
	return v, c.at.Call(ctx, http.MethodGet, "rollouts", nil, nil, &v)
}

// Tell gives an order to a rollout.
func (c *Client) ControlRollout(ctx context.Context, id, order string, leave bool) (*Report, error) {
	var v Report
	return &v, c.at.Call(ctx, http.MethodPost, "rollouts/"+url.PathEscape(id)+"/"+order, nil, map[string]bool{"leave": leave}, &v)
}
