package meshconfig

// Routes returns all routes in no particular order.
func (c *Config) Routes() []*Route {
	var all []*Route
	for _, p := range c.routesByDomain {
		all = append(all, p.routes...)
	}
	return all
}
