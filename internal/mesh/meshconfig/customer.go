package meshconfig

import (
	"slices"
)

// Customer is a tenant. Its requests carry one of its API keys.
type Customer struct {
	Name    string
	Version uint64
	Rank    int  // 0 is the highest
	HasRank bool // Rank is given and overrides the rank of routes

	keys []string
}

// maxKeyBytes bounds a key. A longer one would not fit into a request's header.
const maxKeyBytes = 4096

// readCustomer parses a customer. Keys are secrets, so no error may quote one. For this reason the
// message of protojson is not passed on.
func (i *item) readCustomer(body []byte) error {
	var document CustomerDocument
	if err := unmarshalOptions.Unmarshal(body, &document); err != nil {
		return invalid(i.key.String(), "can't be read, send it whole and as described: api_keys is a list of strings, rank a number")
	}
	f := &fieldReader{item: i}
	c := &Customer{Name: i.name, Version: i.version, keys: document.ApiKeys, HasRank: document.Rank != nil, Rank: int(f.integer("rank", document.GetRank()))}
	for n, key := range c.keys {
		if key == "" || len(key) > maxKeyBytes {
			f.fail("api_keys", "the key at place %d has %d bytes: give each 1 to %d", n, len(key), maxKeyBytes)
		}
	}
	i.customer = c
	return f.err
}

// indexCustomerKeys maps each key to its customer. It goes through the customers sorted by name, so
// that every node returns the same error if some of them share keys.
func (c *Config) indexCustomerKeys() error {
	var customerList []*Customer
	for _, i := range c.items {
		if i.customer != nil {
			customerList = append(customerList, i.customer)
		}
	}
	slices.SortFunc(customerList, func(a, b *Customer) int { return key{customers, a.Name}.compare(key{customers, b.Name}) })
	c.customerCount, c.customersByKey = len(customerList), make(map[string]*Customer, len(customerList))
	for _, owner := range customerList {
		for _, k := range owner.keys {
			if other := c.customersByKey[k]; other != nil && other != owner {
				return invalid(key{customers, owner.Name}.String()+" api_keys", "a key of it is one of customer %s as well: "+
					"take it away from one of them", other.Name)
			}
			c.customersByKey[k] = owner
		}
	}
	return nil
}

// HasCustomers reports whether there are customers, so that requests need a key.
func (c *Config) HasCustomers() bool { return c.customerCount > 0 }

// CustomerByKey returns the customer that has the key, nil if there is none.
func (c *Config) CustomerByKey(key string) *Customer { return c.customersByKey[key] }
