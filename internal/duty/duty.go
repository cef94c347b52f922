// Package duty is what a group of managers tells of itself and of the duties that it grants, and how it is asked. It knows
// nothing of how the group agrees.
package duty

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/lease"
)

// Group is what a member says of its group.
type Group struct {
	Name    string   `json:"name"`           // of the member that says it
	Lead    string   `json:"lead,omitempty"` // "" if it knows none
	Why     string   `json:"why,omitempty"`  // it takes no part
	Applied uint64   `json:"applied"`        // entries that it has carried out
	Members []Member `json:"members"`
	Others  []Other  `json:"others"` // of its file, who can't be members
}

// Member is one of a group.
type Member struct {
	Name  string `json:"name"`
	ID    string `json:"id"` // of its disk
	Voter bool   `json:"voter"`
}

// Other is somebody who can't be a member, and why.
type Other struct {
	Name string `json:"name"`
	Why  string `json:"why"`
}

// Duties are all of them.
type Duties struct {
	Duties  []Duty         `json:"duties"`
	History []lease.Change `json:"history"` // the newest first
}

// Duty is one of them.
type Duty struct {
	Name   string  `json:"name"`
	State  string  `json:"state"` // held, free, handed, revoked, resting
	Holder string  `json:"holder,omitempty"`
	Epoch  uint64  `json:"epoch"`
	Term   float64 `json:"term_s"`
	Left   float64 `json:"left_s"`          // of its time, by the lead's account; 0 at others
	Own    float64 `json:"own_s,omitempty"` // and by the holder's own, at its own process
	To     string  `json:"to,omitempty"`
	Baton  int     `json:"baton_bytes"`
	Why    string  `json:"why"` // it last moved
}

// Words are what the holders of duties say, as a member knows it.
type HolderMessages struct {
	Words []HolderMessage `json:"words"`
}

// Word is what the holder of a duty says. There is one for each duty that agents have held.
type HolderMessage struct {
	Duty    string `json:"duty"`
	Free    bool   `json:"free"` // nobody holds it, and it may be asked for
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"` // grows with each renewal
	Word    []byte `json:"word,omitempty"`
	To      string `json:"to,omitempty"` // it is handed to, and for nobody else meanwhile
}

// Shared says whether a duty is one that agents may hold: its name has two parts, what is done and for what. Others are the
// managers' own.
func IsShared(name string) bool { return strings.Contains(name, ":") }

// Client asks a member.
type Client struct{ at *api.Caller }

// NewClient returns a client of the member that a caller calls.
func NewClient(at *api.Caller) *Client { return &Client{at} }

// Group asks for what the member says of the group.
func (c *Client) Group(ctx context.Context) (*Group, error) {
	var v Group
	return &v, c.at.Call(ctx, http.MethodGet, "group", nil, nil, &v)
}

// Remove has a member go for good.
func (c *Client) Remove(ctx context.Context, name string) (*Group, error) {
	var v Group
	return &v, c.at.Call(ctx, http.MethodDelete, "group/members/"+url.PathEscape(name), nil, nil, &v)
}

// Duties asks for the duties.
func (c *Client) Duties(ctx context.Context) (*Duties, error) {
	var v Duties
	return &v, c.at.Call(ctx, http.MethodGet, "duties", nil, nil, &v)
}

// Words asks for what holders say.
func (c *Client) HolderMessages(ctx context.Context) (*HolderMessages, error) {
	var v HolderMessages
	return &v, c.at.Call(ctx, http.MethodGet, "duties/words", nil, nil, &v)
}

// Lease asks for a duty, renews it or gives it back.
func (c *Client) Lease(ctx context.Context, op *lease.Op) (lease.Answer, error) {
	var v lease.Answer
	err := c.at.Call(ctx, http.MethodPost, "duties/"+url.PathEscape(op.Duty)+"/lease", nil, op, &v)
	return v, err
}

// Hand has a duty handed to a member, once its holder has ended what it does.
func (c *Client) HandOver(ctx context.Context, name, to string) (*Duties, error) {
	var v Duties
	return &v, c.at.Call(ctx, http.MethodPost, "duties/"+url.PathEscape(name)+"/hand", nil, map[string]string{"to": to}, &v)
}

// Revoke has a duty renewed no more. Nobody else has it before its holder's time is over.
func (c *Client) Revoke(ctx context.Context, name, why string) (*Duties, error) {
	var v Duties
	return &v, c.at.Call(ctx, http.MethodPost, "duties/"+url.PathEscape(name)+"/revoke", nil, map[string]string{"why": why}, &v)
}
