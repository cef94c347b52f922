package control

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/site"
)

// Sites is what an instance makes of its sites.
type Sites struct {
	Sites   []Site       `json:"sites"`
	Plans   []SitePlan   `json:"plans"`   // of the loss of each
	History []SiteChange `json:"history"` // the newest first
}

// Site is one of them.
type Site struct {
	Name    string  `json:"name"`
	State   string  `json:"state"`
	For     float64 `json:"for_s"`
	Servers int     `json:"servers"` // that the list has as ready
	Used    int     `json:"used"`    // of these
	Load    float64 `json:"load"`    // requests in work there, on the mean
	Room    float64 `json:"room"`    // and those that fit
	Retry   float64 `json:"retry_s,omitempty"`
	Out     float64 `json:"out_s,omitempty"` // that it is still taken out by hand
	Times   int     `json:"times"`           // that it was lost of late
	Pacer   string  `json:"pacer,omitempty"` // what the agent that paces it for all says, while that is followed
}

// SitePlan is what the loss of a site would mean, or means.
type SitePlan struct {
	Lose    string        `json:"lose"`
	Share   float64       `json:"share"`           // of the work, that it carries
	After   *float64      `json:"after,omitempty"` // part of their room that the others would be used to; none where there is no other
	Refused float64       `json:"refused"`         // share of the work
	Moves   []SiteMove    `json:"moves"`
	First   []SiteRefusal `json:"first"` // what is refused, the first first
}

// SiteMove is a part of the work that would go to another site.
type SiteMove struct {
	To    string  `json:"to"`
	Share float64 `json:"share"`
	After float64 `json:"after"` // part of its room that it would be used to
}

// SiteRefusal is a part of the work that is refused where not all of it fits.
type SiteRefusal struct {
	What  string  `json:"what"`
	Share float64 `json:"share"` // of the work
	Part  float64 `json:"part"`  // of this that would be refused
}

// SiteChange is a change of a site's state.
type SiteChange struct {
	At   time.Time `json:"at"`
	Site string    `json:"site"`
	From string    `json:"from"`
	To   string    `json:"to"`
	Why  string    `json:"why"`
}

var noSites = &api.Problem{Status: 404, Title: "sites are not watched", Detail: "the operators' file does not say so, or there is only one"}

func (s *Server) sites(r *http.Request) (any, error) {
	v, err := s.service.instance.Sites(r.Context())
	if err == nil && v == nil {
		err = noSites
	}
	return v, err
}

// takeOut takes a site out by hand, or lets it in again.
func (s *Server) takeOut(r *http.Request) (any, error) {
	var b struct {
		For   float64 `json:"for_s"`
		Force bool    `json:"force"`
		Why   string  `json:"why"`
	}
	name := r.PathValue("site")
	wrong := func(status int, field, what string, args ...any) error {
		return &api.Problem{Status: status, Title: "the site can't be taken out", Detail: fmt.Sprintf(what, args...), Field: field}
	}
	if r.Method == http.MethodPut {
		if err := api.Body(r, &b); err != nil {
			return nil, err
		}
		switch {
		case !(b.For > 0 && b.For <= mostHold.Seconds()):
			return nil, wrong(422, "for_s", "%v is not between 0 and %v", b.For, mostHold.Seconds())
		case b.Why == "" || len(b.Why) > mostWhy:
			return nil, wrong(422, "why", "it has %d bytes, and 1 to %d are wanted", len(b.Why), mostWhy)
		}
	}
	return s.once(r, fmt.Sprintf("site %q %v %v", name, b.For, b.Force), func() (any, error) {
		v, err := s.service.instance.EvacuateSite(r.Context(), name, time.Duration(b.For*float64(time.Second)), b.Force, b.Why)
		switch {
		case errors.Is(err, site.ErrInsufficientCapacity):
			return nil, wrong(409, "site", "%v; force it to have it all the same", err)
		case errors.Is(err, site.ErrUnknownSite):
			return nil, wrong(404, "site", "%v", err)
		case err == nil && v == nil:
			return nil, noSites
		}
		return v, err
	})
}
