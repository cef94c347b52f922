package meshconfig

import (
	"slices"
)

// Customer is a tenant: whoever sends one of its keys.
type Customer struct {
	Name    string
	Version uint64
	Rank    int  // 0 is the highest
	HasRank bool // Rank is given, and goes before the routes'

	keys []string
}

// mostKeyBytes bounds a key: a longer one could not be sent in a request's head.
const mostKeyBytes = 4096

// readCustomer reads a tenant. Danger: keys are secrets, so no error may quote one.
func (i *item) readCustomer(body []byte) error {
	var d CustomerDocument
	if err := lenient.Unmarshal(body, &d); err != nil {
		return invalid(i.key.String(), "can't be read, send it whole and as described: api_keys is a list of strings, rank a number")
	}
	f := &fields{item: i}
	c := &Customer{Name: i.name, Version: i.version, keys: d.ApiKeys, HasRank: d.Rank != nil, Rank: int(f.whole("rank", d.GetRank()))}
	for n, key := range c.keys {
		if key == "" || len(key) > mostKeyBytes {
			f.wrong("api_keys", "the key at place %d has %d bytes: give each 1 to %d", n, len(key), mostKeyBytes)
		}
	}
	i.customer = c
	return f.err
}

// indexKeys finds out whose each key is. Of several customers that share keys it names the first by
// name, as every node must.
func (c *Config) indexKeys() error {
	var all []*Customer
	for _, i := range c.items {
		if i.customer != nil {
			all = append(all, i.customer)
		}
	}
	slices.SortFunc(all, func(a, b *Customer) int { return key{customers, a.Name}.compare(key{customers, b.Name}) })
	c.tenants, c.keys = len(all), make(map[string]*Customer, len(all))
	for _, one := range all {
		for _, k := range one.keys {
			if other := c.keys[k]; other != nil && other != one {
				return invalid(key{customers, one.Name}.String()+" api_keys", "a key of it is one of customer %s as well: "+
					"take it away from one of them", other.Name)
			}
			c.keys[k] = one
		}
	}
	return nil
}

// HasCustomers says whether there are tenants, so that requests need a key.
func (c *Config) HasCustomers() bool { return c.tenants > 0 }

// CustomerOf is the tenant whose key this is, nil if there is none.
func (c *Config) CustomerByKey(key string) *Customer { return c.keys[key] }
