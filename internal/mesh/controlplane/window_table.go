package controlplane

import (
	"context"
	"slices"

	"example.org/micaline/internal/mesh/maintenance"
	"example.org/micaline/internal/mesh/meshconfig"
)

// opWindow is an order of the core machines themselves: a command of package maintenance. Agents are
// sent the cordons that it leads to, as an OpCordons.
const opWindow = "window"

// applyWindow carries a command about windows of planned work out, and returns the encoded reply.
func (t *table) applyWindow(index uint64, body []byte) []byte {
	command, err := maintenance.DecodeCommand(body)
	if err != nil {
		return maintenance.EncodeReply(&maintenance.Reply{Refused: err.Error(), Invalid: true})
	}
	reply := t.windows.Apply(index, command)
	t.windowsNow.Store(t.windows.Clone())
	t.cordon(index)
	return maintenance.EncodeReply(&reply)
}

// cordon has the configuration hold the cordons that the windows ask for.
func (t *table) cordon(index uint64) {
	cordons := t.windows.Cordons()
	old := t.newest
	if slices.EqualFunc(cordons, old.config.Cordons(), equalCordons) {
		return
	}
	order := meshconfig.Order{Op: meshconfig.OpCordons, Body: meshconfig.EncodeCordons(cordons)}
	next, err := old.config.ApplyOrder(&order)
	if err != nil {
		return // a window that was accepted makes no cordon that can't be carried out
	}
	t.newest = old.after(index, next, &order)
	t.show()
}

func equalCordons(a, b meshconfig.Cordon) bool {
	return slices.Equal(a.Zones, b.Zones) && a.Stage == b.Stage && a.Part == b.Part && slices.Equal(a.Nodes, b.Nodes)
}

// proposeWindow has a command agreed on.
func (c *Core) proposeWindow(ctx context.Context, command *maintenance.Command) (*maintenance.Reply, error) {
	order := meshconfig.Order{Op: opWindow, Body: maintenance.EncodeCommand(command)}
	result, err := c.node.Propose(ctx, encodeOrder(&order))
	if err != nil {
		return nil, err
	}
	return maintenance.DecodeReply(result.Reply)
}
