package controlplane

import (
	"context"

	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/meshconfig"
)

// opDuty marks an order that contains a duties.Command. Control-plane nodes propose these orders
// themselves and do not send them to agents.
const opDuty = "duty"

// applyDuty applies a duties.Command. It returns the encoded reply and whether the command was
// refused.
func (t *table) applyDuty(index uint64, body []byte) (encoded []byte, refused bool) {
	command, err := duties.DecodeCommand(body)
	if err != nil {
		return duties.EncodeReply(&duties.Reply{Refused: err.Error()}), true
	}
	reply := t.duties.Apply(index, command)
	t.dutiesChanged = true
	if !t.inBatch {
		t.publishDuties()
	}
	return duties.EncodeReply(&reply), reply.Refused != "" || reply.Lease.Refused != ""
}

// publishDuties makes the current duties visible to other goroutines.
func (t *table) publishDuties() {
	t.publishedDuties.Store(t.duties.Clone())
	t.dutiesChanged = false
}

// proposeDuty proposes the duties.Command of a call.
func (c *Core) proposeDuty(ctx context.Context, call operatorCall, command *duties.Command) (*duties.Reply, error) {
	order := meshconfig.Order{Op: opDuty, Body: duties.EncodeCommand(command)}
	result, err := c.proposeCall(ctx, call, order)
	if err != nil {
		return nil, err
	}
	return duties.DecodeReply(result.Reply)
}
