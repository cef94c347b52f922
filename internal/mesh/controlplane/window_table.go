package controlplane

import (
	"context"
	"slices"

	"example.org/micaline/internal/mesh/maintenance"
	"example.org/micaline/internal/mesh/meshconfig"
)

// opWindow marks an order that contains a maintenance.Command. Control-plane nodes propose these
// orders themselves. Agents are sent only the resulting cordons, as an OpCordons.
const opWindow = "window"

// applyWindow applies a maintenance.Command. It returns the encoded reply and whether the command
// was refused.
func (t *table) applyWindow(index uint64, body []byte) (encoded []byte, refused bool) {
	command, err := maintenance.DecodeCommand(body)
	if err != nil {
		return maintenance.EncodeReply(&maintenance.Reply{Refused: err.Error(), Invalid: true}), true
	}
	reply := t.windows.Apply(index, command)
	t.publishedWindows.Store(t.windows.Clone())
	t.updateCordons(index)
	return maintenance.EncodeReply(&reply), reply.Refused != ""
}

// updateCordons sets the configuration's cordons to those of the windows.
func (t *table) updateCordons(index uint64) {
	cordons := t.windows.Cordons()
	previous := t.newest
	if slices.EqualFunc(cordons, previous.config.Cordons(), equalCordons) {
		return
	}
	order := meshconfig.Order{Op: meshconfig.OpCordons, Body: meshconfig.EncodeCordons(cordons)}
	next, err := previous.config.ApplyOrder(&order)
	if err != nil {
		return // cordons of an accepted window always apply
	}
	t.newest = previous.successor(index, next, &order)
	t.publish()
}

func equalCordons(a, b meshconfig.Cordon) bool {
	return slices.Equal(a.Zones, b.Zones) && a.Stage == b.Stage && a.Part == b.Part && slices.Equal(a.Nodes, b.Nodes)
}

// proposeWindow proposes the maintenance.Command of a call.
func (c *Core) proposeWindow(ctx context.Context, call operatorCall, command *maintenance.Command) (*maintenance.Reply, error) {
	order := meshconfig.Order{Op: opWindow, Body: maintenance.EncodeCommand(command)}
	result, err := c.proposeCall(ctx, call, order)
	if err != nil {
		return nil, err
	}
	return maintenance.DecodeReply(result.Reply)
}
