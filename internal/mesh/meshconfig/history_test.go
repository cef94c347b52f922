package meshconfig

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulatedNode is the replicated state of one control-plane node.
type simulatedNode struct {
	config  *Config
	history *History
	index   uint64
}

func newSimulatedNode() *simulatedNode { return &simulatedNode{config: New(), history: NewHistory()} }

func (node *simulatedNode) applyOrder(o *Order) (err error) {
	node.index++
	node.config, err = node.history.ApplyOrder(node.index, node.config, o)
	return err
}

// restoreFromEncoding replaces the state by its encoded and decoded copy.
func (node *simulatedNode) restoreFromEncoding(t require.TestingT) {
	config, err := Decode(node.config.Encode())
	require.NoError(t, err)
	history, err := DecodeHistory(node.history.Encode())
	require.NoError(t, err)
	require.Equal(t, node.history.versionCount, history.versionCount)
	node.config, node.history = config, history
}

// patchBody builds the body of a patch from lines "KIND NAME VERSION BODY" or
// "drop KIND NAME VERSION".
func patchBody(lines string) []byte {
	var add []string
	drops := make(map[string][]string)
	for line := range strings.Lines(lines) {
		words := strings.SplitN(strings.TrimSpace(line), " ", 4)
		if words[0] == "drop" {
			drops[words[1]] = append(drops[words[1]], fmt.Sprintf(`{"name":%q,"version":%q}`, words[2], words[3]))
			continue
		}
		add = append(add, fmt.Sprintf(`{"item_kind":%q,"metadata":{"name":%q,"version":%q},"body":%s}`,
			words[0], words[1], words[2], words[3]))
	}
	return fmt.Appendf(nil, `{"add":{"items":[%s]},"remove":{"routes":[%s],"services":[%s]}}`,
		strings.Join(add, ","), strings.Join(drops[routes], ","), strings.Join(drops[services], ","))
}

// describeResult returns the result of an order as the operator gets it.
func describeResult(err error) string {
	var (
		conflict  *ConflictError
		forgotten *ForgottenVersionError
		stale     *StaleOrderError
	)
	switch {
	case err == nil:
		return "confirmed"
	case errors.As(err, &conflict):
		return "409: " + err.Error()
	case errors.As(err, &forgotten):
		return "503: " + err.Error()
	case errors.As(err, &stale):
		return "stale: " + err.Error()
	}
	return "400: " + err.Error()
}

// TestOrderStories runs the sequences of orders in testdata/history.
func TestOrderStories(t *testing.T) {
	datadriven.Walk(t, "testdata/history", func(t *testing.T, path string) {
		node := newSimulatedNode()
		datadriven.RunTest(t, path, func(t *testing.T, command *datadriven.TestData) string {
			before := node.config
			order := Order{Op: command.Cmd, Strict: !command.HasArg("before")}
			switch command.Cmd {
			case "restart":
				if node.restoreFromEncoding(t); command.HasArg("history") {
					node.history = HistoryFromConfig(node.config)
				}
				return "ok"
			case OpPatch:
				order.Body = patchBody(command.Input)
			default:
				order.Zone = command.CmdArgs[0].Key
				command.ScanArgs(t, "since", &order.Since)
				node.index = max(node.index, order.Since)
			}
			return strings.Join(append([]string{describeResult(node.applyOrder(&order))}, Diff(before, node.config)...), "\n")
		})
	})
}

func TestCanonicalNumbers(t *testing.T) {
	for number, want := range map[string]string{
		"0": "0", "-0.00e7": "0", "120": "12e1", "1.2E+2": "12e1", "0.0120": "12e-3", "-1e-2": "-1e-2", "100e-2": "1e0",
		"1e999999999999999999999": "1e999999999999999999999", "10e99999999999999999": "1e100000000000000000",
	} {
		require.Equal(t, want, canonicalNumber(number), number)
	}
}

// confirmedContents is the reference model of a History without a size limit: the content of every
// version that was ever confirmed.
type confirmedContents map[string]string

func (c confirmedContents) contradictedBy(patch modelPatch) bool {
	inPatch := confirmedContents{}
	for _, i := range patch {
		name, content := i.versionAndContent()
		for _, known := range []confirmedContents{c, inPatch} {
			if first, found := known[name]; found && first != content {
				return true
			}
		}
		inPatch[name] = content
	}
	return false
}

func (c confirmedContents) add(patch modelPatch) {
	for _, i := range patch {
		name, content := i.versionAndContent()
		c[name] = content
	}
}

// versionAndContent returns a key for the item and its version, and a text for its content.
func (i modelItem) versionAndContent() (name, content string) {
	name = fmt.Sprint(i.route, i.name, i.version)
	if i.drop {
		return name, "dropped"
	}
	if i.route {
		return name, i.path + i.service
	}
	return name, "set"
}

// checkHistory generates patches with few names and versions, so that most conflict with others or
// repeat them, and compares each result with the models. It calls afterPatch after each one.
func checkHistory(t *rapid.T, afterPatch func(node *simulatedNode)) {
	node, model, confirmed := newSimulatedNode(), model{}, confirmedContents{}
	names := strings.Split("abc", "")
	for range rapid.IntRange(1, 40).Draw(t, "calls") {
		patch := make(modelPatch, rapid.IntRange(1, 3).Draw(t, "items"))
		for n := range patch {
			patch[n] = modelItem{
				route: rapid.Bool().Draw(t, "route"), drop: rapid.IntRange(0, 4).Draw(t, "drop") == 0,
				name: rapid.SampledFrom(names).Draw(t, "name"), path: rapid.SampledFrom([]string{"/", "/a/"}).Draw(t, "path"),
				service: rapid.SampledFrom(names).Draw(t, "service"), version: rapid.IntRange(1, 6).Draw(t, "version"),
			}
		}
		err := node.applyOrder(&Order{Op: OpPatch, Body: []byte(patch.String()), Strict: true})
		next, valid := model.apply(patch)
		switch {
		case confirmed.contradictedBy(patch):
			require.Error(t, err, "other content was confirmed: %v", patch)
		case !valid:
			var invalidError *InvalidError
			require.ErrorAs(t, err, &invalidError)
		default:
			require.NoError(t, err)
			model = next
			confirmed.add(patch)
		}
		require.Len(t, node.config.items, len(model))
		afterPatch(node)
	}
}

// TestHistoryAgainstModel compares a node that is restored at random times with the models.
func TestHistoryAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkHistory(t, func(node *simulatedNode) {
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				node.restoreFromEncoding(t)
			}
		})
	})
}

// TestHistoryIsBounded checks that versions replaced by thousands of others are reported as unknown,
// that remembered versions are confirmed again, and that a dropped item is never restored.
func TestHistoryIsBounded(t *testing.T) {
	node := newSimulatedNode()
	set := func(name string, version int) error {
		return node.applyOrder(&Order{Op: OpPatch, Body: patchBody(fmt.Sprintf(`services %s %x {"max_conns":%d}`, name, version, version)), Strict: true})
	}
	var forgotten *ForgottenVersionError
	for version := 1; version <= MaxPastVersions+MaxPastVersions/2; version++ {
		require.NoError(t, set(fmt.Sprint("s", version%7), version))
		require.LessOrEqual(t, node.history.versionCount, MaxPastVersions)
	}
	require.ErrorAs(t, set("s1", 1), &forgotten)
	remembered := MaxPastVersions // recent enough to be remembered
	require.NoError(t, set(fmt.Sprint("s", remembered%7), remembered))
	require.Less(t, len(node.history.Encode()), 512<<10)

	var drops strings.Builder
	for n := range MaxTombstones + 10 {
		fmt.Fprintf(&drops, "drop services d%d %x\n", n, n+10)
		if n%100 == 0 || n == MaxTombstones+9 {
			require.NoError(t, node.applyOrder(&Order{Op: OpPatch, Body: patchBody(drops.String()), Strict: true}))
			drops.Reset()
		}
	}
	node.restoreFromEncoding(t)
	require.ErrorAs(t, set("d0", 9), &forgotten)
	require.ErrorAs(t, set("d0", 10), &forgotten)
	require.Nil(t, node.config.Service("d0"), "a dropped item was restored")
	require.NoError(t, set("d0", 1000))
	require.ErrorAs(t, set("d0", 12), &forgotten)
	require.Less(t, len(node.history.items), MaxTombstones+100)
}
