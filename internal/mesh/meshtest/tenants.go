package meshtest

import (
	"context"
	"fmt"
	"math/rand/v2"
)

const (
	customerHeader = "Customer"
	strangers      = 0.02 // of the operations bring a key that nobody has
)

func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }

// tenantKey is the key that a tenant's clients use.
func tenantKey(i int) string { return fmt.Sprintf("key-of-%d", i) }

// Tenant is the item of a tenant. Each version has another key besides the one that clients use.
func (g *Cluster) Tenant(i, v int) Item {
	return Item{Kind: Customers, Name: tenantName(i), Version: version(v), Body: map[string]any{
		"api_keys": []any{tenantKey(i), fmt.Sprintf("spare-%d-%d", i, v)}, "rank": 1}}
}

// pickKey draws who asks: a tenant with its key, or nobody with a key that is unknown.
func (g *Cluster) pickKey() (customer, key string) {
	if g.opt.Tenants == 0 {
		return "", ""
	}
	if rand.Float64() < strangers {
		return "", "unknown"
	}
	i := min(rand.IntN(g.opt.Tenants), rand.IntN(g.opt.Tenants)) // some are larger than others
	return tenantName(i), tenantKey(i)
}

// stranger asks with a key that nobody has. It is no operation: nothing is owed.
func (c *clients) stranger(k *kind, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	t := &Try{ID: fmt.Sprintf("%016x", rand.Uint64()), Kind: k.kind, Machine: c.m.Name, key: key,
		Message: Message{Method: k.method, Host: host, URI: k.path + "stranger", Caller: c.m.Service, Body: hash(nil)}}
	c.g.send(ctx, c.kept, c.m, t, nil, deadline)
}
