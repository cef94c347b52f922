package control

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/site"
)

// Sites is an instance's view of its sites.
type Sites struct {
	Sites   []Site       `json:"sites"`
	Plans   []SitePlan   `json:"plans"`   // impact of losing each site
	History []SiteChange `json:"history"` // newest first
}

// Site is the state of one site.
type Site struct {
	Name    string  `json:"name"`
	State   string  `json:"state"`
	For     float64 `json:"for_s"`             // seconds in this state
	Servers int     `json:"servers"`           // servers that discovery reports as ready
	Used    int     `json:"used"`              // ready servers that get requests
	Load    float64 `json:"load"`              // mean number of requests in flight
	Room    float64 `json:"room"`              // number of requests that fit
	Retry   float64 `json:"retry_s,omitempty"` // seconds until the next probe
	Out     float64 `json:"out_s,omitempty"`   // remaining seconds of a manual evacuation
	Times   int     `json:"times"`             // number of recent losses
	Pacer   string  `json:"pacer,omitempty"`   // what the agent that paces the site's recovery reports, while this instance follows it
}

// SitePlan is the impact that the loss of a site would have, or has.
type SitePlan struct {
	Lose    string        `json:"lose"`
	Share   float64       `json:"share"`           // share of the load that the site carries
	After   *float64      `json:"after,omitempty"` // utilization of the other sites; absent if there are none
	Refused float64       `json:"refused"`         // share of the load that would be refused
	Moves   []SiteMove    `json:"moves"`
	First   []SiteRefusal `json:"first"` // what would be refused, in this order
}

// SiteMove is the part of the load that would move to another site.
type SiteMove struct {
	To    string  `json:"to"`
	Share float64 `json:"share"`
	After float64 `json:"after"` // utilization of that site
}

// SiteRefusal is a kind of load that is refused if the remaining capacity is too small.
type SiteRefusal struct {
	What  string  `json:"what"`
	Share float64 `json:"share"` // of the load
	Part  float64 `json:"part"`  // fraction of this kind that would be refused
}

// SiteChange records a change of a site's state.
type SiteChange struct {
	At   time.Time `json:"at"`
	Site string    `json:"site"`
	From string    `json:"from"`
	To   string    `json:"to"`
	Why  string    `json:"why"`
}

var errSitesNotWatched = &api.Problem{Status: 404, Title: "sites are not monitored", Detail: "the operators' file does not enable it, or there is only one site"}

func (s *Server) sites(r *http.Request) (any, error) {
	v, err := s.service.instance.Sites(r.Context())
	if err == nil && v == nil {
		err = errSitesNotWatched
	}
	return v, err
}

// evacuateSite evacuates a site, or ends its evacuation on DELETE.
func (s *Server) evacuateSite(r *http.Request) (any, error) {
	var body struct {
		For   float64 `json:"for_s"`
		Force bool    `json:"force"`
		Why   string  `json:"why"`
	}
	name := r.PathValue("site")
	invalid := func(status int, field, format string, args ...any) error {
		return &api.Problem{Status: status, Title: "the site can't be evacuated", Detail: fmt.Sprintf(format, args...), Field: field}
	}
	if r.Method == http.MethodPut {
		if err := api.Body(r, &body); err != nil {
			return nil, err
		}
		switch {
		case !(body.For > 0 && body.For <= maxHold.Seconds()):
			return nil, invalid(422, "for_s", "%v is not between 0 and %v", body.For, maxHold.Seconds())
		case body.Why == "" || len(body.Why) > maxReasonBytes:
			return nil, invalid(422, "why", "the reason has %d bytes; it must have 1 to %d", len(body.Why), maxReasonBytes)
		}
	}
	return s.runOnce(r, fmt.Sprintf("site %q %v %v", name, body.For, body.Force), func() (any, error) {
		v, err := s.service.instance.EvacuateSite(r.Context(), name, time.Duration(body.For*float64(time.Second)), body.Force, body.Why)
		switch {
		case errors.Is(err, site.ErrInsufficientCapacity):
			return nil, invalid(409, "site", "%v; set force to evacuate it anyway", err)
		case errors.Is(err, site.ErrUnknownSite):
			return nil, invalid(404, "site", "%v", err)
		case err == nil && v == nil:
			return nil, errSitesNotWatched
		}
		return v, err
	})
}
