// Package duty has the HTTP client of a group of managers and the types of its interface: the state
// of the group and of the duties (leases) that it grants. It also has the LeaseClient, with which
// an agent acquires duties of its own. It does not depend on how the group replicates its state.
package duty

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/lease"
)

// Group is a member's view of its group.
type Group struct {
	Name    string   `json:"name"`           // of the member that responds
	Lead    string   `json:"lead,omitempty"` // name of the leader; "": unknown
	Why     string   `json:"why,omitempty"`  // why the member does not participate; "": it does
	Applied uint64   `json:"applied"`        // index of the last log entry that it has applied
	Members []Member `json:"members"`
	Others  []Other  `json:"others"` // configured peers that can't be members
}

// Member is a member of a group.
type Member struct {
	Name  string `json:"name"`
	ID    string `json:"id"` // identifies its disk
	Voter bool   `json:"voter"`
}

// Other is a configured peer that can't be a member, and why.
type Other struct {
	Name string `json:"name"`
	Why  string `json:"why"`
}

// Duties is the state of all duties and their latest changes.
type Duties struct {
	Duties  []Duty         `json:"duties"`
	History []lease.Change `json:"history"` // the newest first
}

// Duty is the state of a duty.
type Duty struct {
	Name   string  `json:"name"`
	State  string  `json:"state"` // held, free, handed (free but reserved for To), revoked, resting
	Holder string  `json:"holder,omitempty"`
	Epoch  uint64  `json:"epoch"`
	Term   float64 `json:"term_s"`
	Left   float64 `json:"left_s"`          // remaining time of its lease, rest or reservation; 0 unless the member leads
	Own    float64 `json:"own_s,omitempty"` // remaining time of the lease by the holder's clock; set only by its process
	To     string  `json:"to,omitempty"`    // to whom it is being handed over
	Baton  int     `json:"baton_bytes"`     // size of the data that the previous holder left
	Why    string  `json:"why"`             // reason of the latest change
}

// HolderMessages are the messages that the holders of agents' duties publish, as a member knows
// them.
type HolderMessages struct {
	Words []HolderMessage `json:"words"`
}

// HolderMessage is the message that the holder of a duty publishes to its followers. There is one
// for each duty that an agent has ever held.
type HolderMessage struct {
	Duty    string `json:"duty"`
	Free    bool   `json:"free"` // the duty has no holder and may be acquired
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"` // grows with each renewal
	Word    []byte `json:"word,omitempty"`
	To      string `json:"to,omitempty"` // only this process or member may acquire it for now
}

// IsShared reports whether agents may hold a duty: its name has two parts, the task and its
// subject, as in "pace:site". Other duties belong to the managers.
func IsShared(name string) bool { return strings.Contains(name, ":") }

// Client is an HTTP client of a member.
type Client struct{ caller *api.Caller }

// NewClient returns a client of the member that a caller calls.
func NewClient(caller *api.Caller) *Client { return &Client{caller} }

// Group returns the member's view of the group.
func (c *Client) Group(ctx context.Context) (*Group, error) {
	var v Group
	return &v, c.caller.Call(ctx, http.MethodGet, "group", nil, nil, &v)
}

// Remove removes a member from the group permanently.
func (c *Client) Remove(ctx context.Context, name string) (*Group, error) {
	var v Group
	return &v, c.caller.Call(ctx, http.MethodDelete, "group/members/"+url.PathEscape(name), nil, nil, &v)
}

// Duties returns the state of the duties.
func (c *Client) Duties(ctx context.Context) (*Duties, error) {
	var v Duties
	return &v, c.caller.Call(ctx, http.MethodGet, "duties", nil, nil, &v)
}

// HolderMessages returns the messages that holders publish.
func (c *Client) HolderMessages(ctx context.Context) (*HolderMessages, error) {
	var v HolderMessages
	return &v, c.caller.Call(ctx, http.MethodGet, "duties/words", nil, nil, &v)
}

// Lease acquires, renews or releases a duty.
func (c *Client) Lease(ctx context.Context, op *lease.Op) (lease.Answer, error) {
	var v lease.Answer
	err := c.caller.Call(ctx, http.MethodPost, "duties/"+url.PathEscape(op.Duty)+"/lease", nil, op, &v)
	return v, err
}

// HandOver asks the holder of a duty to stop its work and release the duty, which is then reserved
// for the given process or member.
func (c *Client) HandOver(ctx context.Context, name, to string) (*Duties, error) {
	var v Duties
	return &v, c.caller.Call(ctx, http.MethodPost, "duties/"+url.PathEscape(name)+"/hand", nil, map[string]string{"to": to}, &v)
}

// Revoke ends the renewal of a duty's lease. The duty becomes free when the lease has expired.
func (c *Client) Revoke(ctx context.Context, name, why string) (*Duties, error) {
	var v Duties
	return &v, c.caller.Call(ctx, http.MethodPost, "duties/"+url.PathEscape(name)+"/revoke", nil, map[string]string{"why": why}, &v)
}
