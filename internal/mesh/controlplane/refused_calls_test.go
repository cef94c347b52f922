package controlplane

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/lease"
	"example.org/micaline/internal/mesh/duties"
	"example.org/micaline/internal/mesh/maintenance"
	"example.org/micaline/internal/mesh/meshconfig"
	"example.org/micaline/internal/mesh/plaingob"
	"github.com/stretchr/testify/require"
)

// Attempts at a refused call have no effect if they arrived before the refusal, and are decided
// afresh if they arrived after it.
func TestRefusalEndsEarlierAttempts(t *testing.T) {
	var refused refusedCalls
	call, other := []byte("call"), []byte("other")
	require.False(t, refused.refusedSince(0, call))
	refused.record(5, call)
	refused.record(7, other)
	require.True(t, refused.refusedSince(4, call))
	require.False(t, refused.refusedSince(5, call))
	require.True(t, refused.refusedSince(6, other))
	require.False(t, refused.refusedSince(0, []byte("third")))
}

// The number of refusals is bounded. Attempts from before what was dropped have no effect.
func TestRefusalsAreBounded(t *testing.T) {
	var refused refusedCalls
	for index := uint64(1); index <= maxRefusedCalls+10; index++ {
		refused.record(index, fmt.Append(nil, index))
	}
	require.Len(t, refused.refusals, maxRefusedCalls)
	unknown := []byte("unknown")
	require.True(t, refused.refusedSince(9, unknown))
	require.False(t, refused.refusedSince(10, unknown))
	restored := newRefusedCalls(refused.state())
	require.Equal(t, &refused, restored)
}

// A member that is restored from a snapshot decides on an attempt as the others do. A snapshot of an
// earlier program version has no refusals, and orders of that version are applied as they were then.
func TestRefusalsInSnapshots(t *testing.T) {
	patch := func(kind, name, body string) []byte {
		return fmt.Appendf(nil, `{"add":{"items":[{"item_kind":%q,"metadata":{"name":%q,"version":"1"},"body":%s}]}}`, kind, name, body)
	}
	route := meshconfig.Order{Op: meshconfig.OpPatch, Body: patch("routes", "r", `{"domain":"d","path_start":"/","kind":"safe","service":"s"}`), Strict: true, Since: 1, Call: []byte("call")}
	service := meshconfig.Order{Op: meshconfig.OpPatch, Body: patch("services", "s", `{}`), Strict: true}
	original := newTable(func() {})
	require.Equal(t, 400, decodeRefusal(original.Apply(2, encodeOrder(&route))).Status)
	require.Empty(t, original.Apply(3, encodeOrder(&service)))
	restored := newTable(func() {})
	require.NoError(t, restored.Restore(3, original.Snapshot()))
	for _, table := range []*table{original, restored} {
		require.Equal(t, refusedSinceReply, table.Apply(4, encodeOrder(&route)))
		require.Equal(t, uint64(3), table.published.Load().index, "the attempt has no effect")
	}
	again := route
	again.Since = 3
	require.Empty(t, restored.Apply(5, encodeOrder(&again)), "sent again after the refusal")
	require.Equal(t, uint64(5), restored.published.Load().index)

	snapshot, err := plaingob.Decode[tableSnapshot](original.Snapshot())
	require.NoError(t, err)
	earlier := struct {
		Index                            uint64
		Config, History, Duties, Windows []byte
	}{snapshot.Index, snapshot.Config, snapshot.History, snapshot.Duties, snapshot.Windows}
	require.NoError(t, restored.Restore(4, plaingob.Encode(earlier)))
	earlierOrder := route
	earlierOrder.Call = nil
	require.Empty(t, restored.Apply(5, encodeOrder(&earlierOrder)))
}

// A window that was refused, by the table or by the view of one node alone, is not planned or
// cancelled by an earlier attempt at the same call.
func TestRefusedWindowCallStaysRefused(t *testing.T) {
	c := startSingleNode(t)
	start := time.Now().Add(time.Hour)
	plan := &maintenance.PlanDocument{Name: "power", Zones: []string{"unknown"}, Start: start, End: start.Add(time.Hour), Lead: "1m0s"}
	body, err := json.Marshal(plan)
	require.NoError(t, err)
	window, err := plan.Window()
	require.NoError(t, err)
	for path, call := range map[string]struct {
		body    string
		command maintenance.Command
	}{
		"/api/windows":              {string(body), maintenance.Command{Plan: window}},
		"/api/windows/power/cancel": {"", maintenance.Command{Cancel: "power"}},
	} {
		request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(call.body))
		earlier := operatorCall{identity: callIdentity(request, []byte(call.body)), since: c.table.applied.Load()}
		recorder := httptest.NewRecorder()
		c.handler().ServeHTTP(recorder, request)
		require.Equal(t, http.StatusConflict, recorder.Code, recorder.Body)
		_, err = c.proposeWindow(t.Context(), earlier, &call.command)
		require.ErrorIs(t, err, errRefusedSince, path)
		require.Equal(t, http.StatusServiceUnavailable, statusFor(err))
	}
	require.Empty(t, c.table.publishedWindows.Load().Windows)
	require.Equal(t, uint64(2), c.counters.refusedSince.Load())
}

// A duty order that was refused has no effect through an earlier attempt at the same call, although
// the duty has a holder by then.
func TestRefusedDutyOrderStaysRefused(t *testing.T) {
	c := startSingleNode(t)
	order := operatorCall{identity: []byte("order"), since: c.table.applied.Load()}
	handOver := &duties.Command{Lease: &lease.Op{Kind: lease.HandOver, Duty: duties.UsageReport, To: "b"}}
	reply, err := c.proposeDuty(t.Context(), order, handOver)
	require.NoError(t, err)
	require.NotEmpty(t, reply.Lease.Refused)
	acquire := &duties.Command{Lease: &lease.Op{Kind: lease.Acquire, Duty: duties.UsageReport, Holder: "a", Term: lease.MinTerm}}
	reply, err = c.proposeDuty(t.Context(), operatorCall{}, acquire)
	require.NoError(t, err)
	require.Empty(t, reply.Lease.Refused)
	_, err = c.proposeDuty(t.Context(), order, handOver)
	require.ErrorIs(t, err, errRefusedSince)
	require.Empty(t, c.table.publishedDuties.Load().Leases.Duties[duties.UsageReport].To)
}
