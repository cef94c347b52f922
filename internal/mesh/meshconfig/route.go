package meshconfig

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Route tells how to handle requests for a domain whose path begins with PathStart. The field names
// follow those of the settings.
type Route struct {
	Name               string
	Version            uint64
	Domain, PathStart  string // Domain is lower case and has no port
	Kind               Kind
	GiveUp, TargetTime time.Duration // 0 if not given
	Rank               int           // 0 is the highest
	Tries              int           // maximum number of attempts, at least 1
	Public             bool          // requests need no customer key
	Shares             []Share       // at least one has a weight above 0; a single service has weight 1

	total float64 // sum of the weights
}

// Share is a service and its weight among the services of a route.
type Share struct {
	Service string
	Weight  float64
}

// PickService returns a service, chosen by weight, for a random number u from [0, 1).
func (r *Route) PickService(u float64) string {
	remaining := u * r.total
	lastWeighted := 0
	for n, s := range r.Shares {
		if s.Weight == 0 {
			continue
		}
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
		lastWeighted = n
	}
	return r.Shares[lastWeighted].Service // reached only through rounding errors
}

// hostname returns a host in lower case without its port.
func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host) // allocates only if there are capital letters
}

// prefixIndex finds the routes of one domain by the longest matching path prefix.
type prefixIndex struct {
	routes []*Route // sorted by PathStart, which is unique
	parent []int    // index of the longest other prefix of this route's PathStart; -1 if none
}

// longestMatch returns the route with the longest prefix of the path. It is the last route that
// sorts before the path or is equal to it, or one of that route's parents, because whatever sorts
// between a prefix of the path and the path has that prefix too.
func (p *prefixIndex) longestMatch(path string) *Route {
	pos, found := slices.BinarySearchFunc(p.routes, path, comparePathPrefix)
	if !found {
		pos--
	}
	for pos >= 0 && !strings.HasPrefix(path, p.routes[pos].PathStart) {
		pos = p.parent[pos]
	}
	if pos < 0 {
		return nil
	}
	return p.routes[pos]
}

func comparePathPrefix(r *Route, path string) int { return cmp.Compare(r.PathStart, path) }

// Route returns the route for a request to the host and path, nil if there is none.
func (c *Config) Route(host, path string) *Route {
	p := c.routesByDomain[hostname(host)]
	if p == nil {
		return nil
	}
	return p.longestMatch(path)
}

// indexRoutes builds the lookup tables of Route. Only the changed domains are rebuilt, the other
// tables are shared with the previous configuration.
func (c *Config) indexRoutes(previous map[string]*prefixIndex, changedDomains map[string]bool) {
	if len(changedDomains) == 0 {
		c.routesByDomain = previous
		return
	}
	c.routesByDomain = maps.Clone(previous)
	if c.routesByDomain == nil {
		c.routesByDomain = make(map[string]*prefixIndex)
	}
	for domain := range changedDomains {
		delete(c.routesByDomain, domain)
	}
	for _, i := range c.items {
		if r := i.route; r != nil && changedDomains[r.Domain] {
			p := c.routesByDomain[r.Domain]
			if p == nil {
				p = new(prefixIndex)
				c.routesByDomain[r.Domain] = p
			}
			p.routes = append(p.routes, r)
		}
	}
	for domain := range changedDomains {
		if p := c.routesByDomain[domain]; p != nil {
			p.build()
		}
	}
}

// build sorts the routes and computes the parents. Of routes with the same prefix the one with the
// highest version is kept, because it is the operator's latest, then the first by name.
func (p *prefixIndex) build() {
	slices.SortFunc(p.routes, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.PathStart, b.PathStart), cmp.Compare(b.Version, a.Version), cmp.Compare(a.Name, b.Name))
	})
	p.routes = slices.CompactFunc(p.routes, func(a, b *Route) bool { return a.PathStart == b.PathStart })
	p.parent = make([]int, len(p.routes))
	for n, r := range p.routes {
		parent := n - 1
		for parent >= 0 && !strings.HasPrefix(r.PathStart, p.routes[parent].PathStart) {
			parent = p.parent[parent]
		}
		p.parent[n] = parent
	}
}
