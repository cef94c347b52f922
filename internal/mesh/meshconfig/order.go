package meshconfig

import "fmt"

// Values of Order.Op; see also OpCordons.
const (
	OpPatch    = "patch"
	OpEvacuate = "evacuate"
	OpReturn   = "return"
)

// Order is a change by the operator. Control-plane nodes agree on orders through consensus, and
// agents receive the orders that changed the configuration.
type Order struct {
	Op   string
	Zone string // for OpEvacuate and OpReturn
	Body []byte // for OpPatch and OpCordons

	// Strict orders are checked against the History of confirmed orders. Orders that an earlier
	// program version put into the log are not strict, and a replay applies them as it did then.
	Strict bool
	// Since is the index up to which the node that received the order had applied orders. An order
	// for a zone is refused if the opposite order was applied after that index, so that a delayed
	// order whose caller has given up does not undo a later one.
	Since uint64
	// Call identifies the operator's call that the order belongs to. It is equal for all attempts at
	// the call. An order has no effect if the same call was refused after Since. It is empty if there
	// is no call, and in orders of an earlier program version.
	Call []byte
}

// ApplyOrder returns the configuration after an accepted order, without checks against a History, as
// agents apply it. It returns c if the order can't be applied or changes nothing. An OpCordons order
// counts as a change even if its cordons are the same.
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
		return c.applyCordons(o.Body)
	}
	return c, fmt.Errorf("op: %s is not known", o.Op)
}
