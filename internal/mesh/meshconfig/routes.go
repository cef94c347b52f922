package meshconfig

// Routes returns the routes that stand, in no order.
func (c *Config) Routes() []*Route {
	var all []*Route
	for _, p := range c.routesByDomain {
		all = append(all, p.routes...)
	}
	return all
}
