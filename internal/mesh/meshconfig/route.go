package meshconfig

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Route is where requests of a host go whose path begins with PathStart, and how they are treated.
type Route struct {
	Name               string
	Version            uint64
	Domain, PathStart  string // Domain in small letters and without a port
	Kind               Kind
	GiveUp, TargetTime time.Duration // 0 if not given
	Rank               int           // 0 is the highest
	Tries              int           // at least 1
	Public             bool          // needs no key of a customer
	Shares             []Share       // at least one of a weight over 0; a single service has weight 1

	total float64 // of the weights
}

// Share is a service's part of a route.
type Share struct {
	Service string
	Weight  float64
}

// Pick returns a service, by weight, for a u drawn from [0, 1).
func (r *Route) PickService(u float64) string {
	left := u * r.total
	last := 0
	for n, s := range r.Shares {
		if s.Weight == 0 {
			continue
		}
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
		last = n
	}
	return r.Shares[last].Service // by rounding only
}

// hostOf is a host without its port, in small letters.
func hostOf(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host) // which allocates for capitals only
}

// prefixes are the routes of a domain, sorted by PathStart, each of which they have once.
type prefixes struct {
	routes []*Route
	parent []int // the longest of the others that begins this one, -1 if none
}

// find returns the route with the longest prefix that begins the path. That is the last one that
// sorts before the path or is equal to it, or one of those that begin it: whatever sorts between a
// prefix of the path and the path has that prefix too.
func (p *prefixes) find(path string) *Route {
	at, found := slices.BinarySearchFunc(p.routes, path, byPath)
	if !found {
		at--
	}
	for at >= 0 && !strings.HasPrefix(path, p.routes[at].PathStart) {
		at = p.parent[at]
	}
	if at < 0 {
		return nil
	}
	return p.routes[at]
}

func byPath(r *Route, path string) int { return cmp.Compare(r.PathStart, path) }

// Route returns the route for a request, nil if there is none.
func (c *Config) Route(host, path string) *Route {
	p := c.hosts[hostOf(host)]
	if p == nil {
		return nil
	}
	return p.find(path)
}

// index builds what Route looks up: as before, but for the domains whose routes moved.
func (c *Config) index(before map[string]*prefixes, moved map[string]bool) {
	if len(moved) == 0 {
		c.hosts = before
		return
	}
	c.hosts = maps.Clone(before)
	if c.hosts == nil {
		c.hosts = make(map[string]*prefixes)
	}
	for domain := range moved {
		delete(c.hosts, domain)
	}
	for _, i := range c.items {
		if r := i.route; r != nil && moved[r.Domain] {
			p := c.hosts[r.Domain]
			if p == nil {
				p = new(prefixes)
				c.hosts[r.Domain] = p
			}
			p.routes = append(p.routes, r)
		}
	}
	for domain := range moved {
		if p := c.hosts[domain]; p != nil {
			p.link()
		}
	}
}

// link sorts the routes and finds the parents. Of routes with the same prefix the newest version
// holds, which is what the operator said last, then the first by name.
func (p *prefixes) link() {
	slices.SortFunc(p.routes, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.PathStart, b.PathStart), cmp.Compare(b.Version, a.Version), cmp.Compare(a.Name, b.Name))
	})
	p.routes = slices.CompactFunc(p.routes, func(a, b *Route) bool { return a.PathStart == b.PathStart })
	p.parent = make([]int, len(p.routes))
	for n, r := range p.routes {
		at := n - 1
		for at >= 0 && !strings.HasPrefix(r.PathStart, p.routes[at].PathStart) {
			at = p.parent[at]
		}
		p.parent[n] = at
	}
}
