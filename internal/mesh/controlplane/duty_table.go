package controlplane

import (
	"context"

	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/meshconfig"
)

// opDuty is an order of the core machines themselves: a command of package duties. Agents are not
// sent such orders.
const opDuty = "duty"

// applyDuty carries a command about the platform's duties out, and returns the encoded reply.
func (t *table) applyDuty(index uint64, body []byte) []byte {
	command, err := duties.DecodeCommand(body)
	if err != nil {
		return duties.EncodeReply(&duties.Reply{Refused: err.Error()})
	}
	reply := t.duties.Apply(index, command)
	t.dutiesMoved = true
	if !t.batch {
		t.showDuties()
	}
	return duties.EncodeReply(&reply)
}

// showDuties has others see the duties as they are.
func (t *table) showDuties() {
	t.dutiesNow.Store(t.duties.Clone())
	t.dutiesMoved = false
}

// proposeDuty has a command agreed on.
func (c *Core) proposeDuty(ctx context.Context, command *duties.Command) (*duties.Reply, error) {
	order := meshconfig.Order{Op: opDuty, Body: duties.EncodeCommand(command)}
	result, err := c.node.Propose(ctx, encodeOrder(&order))
	if err != nil {
		return nil, err
	}
	return duties.DecodeReply(result.Reply)
}
