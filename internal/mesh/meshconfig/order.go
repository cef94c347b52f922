package meshconfig

import "fmt"

// Ops of an order.
const (
	OpPatch    = "patch"
	OpEvacuate = "evacuate"
	OpReturn   = "return"
)

// Order is a call of the operator that is to hold: what the core machines agree on, and what agents
// are sent of a change.
type Order struct {
	Op   string
	Zone string
	Body []byte // of a patch

	// Strict orders are judged against what was confirmed before. Those that an earlier program put
	// into the log were not, and are carried out again as they were then.
	Strict bool
	// Since is the index up to which the core machine that took the order had carried out others. An
	// order for a zone is not carried out if the opposite one was in between, so that one that was
	// held up on its way, and whose caller has gone on, has no effect after a later one.
	Since uint64
}

// Carry returns the configuration after an order that was accepted, as agents carry it out. It is c
// itself where the order changes nothing or can't be carried out.
func (c *Config) ApplyOrder(o *Order) (*Config, error) {
	switch o.Op {
	case OpPatch:
		p, err := ParsePatch(o.Body)
		if err != nil {
			return c, err
		}
		next, _, err := c.Apply(p)
		return next, err
	case OpEvacuate:
		return c.Evacuate(o.Zone), nil
	case OpReturn:
		return c.EndEvacuation(o.Zone), nil
	case OpCordons:
		return c.carryCordons(o.Body)
	}
	return c, fmt.Errorf("op: %s is not known", o.Op)
}
