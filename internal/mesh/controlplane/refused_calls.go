package controlplane

import (
	"bytes"
	"slices"
)

// maxRefusedCalls is the number of refusals that are remembered. It has to cover those of the few
// seconds for which an attempt at a call can be under way.
const maxRefusedCalls = 1024

// refusedCalls is the replicated memory of the operators' calls that were refused.
//
// A client that gets no answer in time sends its call again, unchanged, to another control-plane
// node, while the earlier attempt may still be under way: unread in a paused process, on a slow
// link, or in the log. If the later attempt is refused, the client takes the call for ended. The
// earlier attempt must then have no effect, even if other changes have made it valid in the
// meantime.
//
// An attempt is earlier if the node that received it had not yet applied the refusal. A call that is
// sent again after its refusal is a new one and is decided afresh.
type refusedCalls struct {
	refusals []refusedCall // in the order of their indexes
	// forgottenIndex is the index of the newest refusal that was dropped, 0 if none was.
	forgottenIndex uint64
}

// refusedCall is the refusal of a call by the order at an index of the log.
type refusedCall struct {
	Index uint64
	Call  []byte // identity of the call; see meshconfig.Order
}

// refusedCallsState is the stored form of refusedCalls.
type refusedCallsState struct {
	Refusals       []refusedCall
	ForgottenIndex uint64
}

func newRefusedCalls(state refusedCallsState) *refusedCalls {
	return &refusedCalls{refusals: state.Refusals, forgottenIndex: state.ForgottenIndex}
}

// state returns the stored form. It does not change with the refusals that are recorded later.
func (r *refusedCalls) state() refusedCallsState {
	return refusedCallsState{Refusals: slices.Clone(r.refusals), ForgottenIndex: r.forgottenIndex}
}

// record records that the order at an index was refused.
func (r *refusedCalls) record(index uint64, call []byte) {
	r.refusals = append(r.refusals, refusedCall{Index: index, Call: call})
	if len(r.refusals) > maxRefusedCalls {
		r.forgottenIndex = r.refusals[0].Index
		r.refusals = slices.Delete(r.refusals, 0, 1)
	}
}

// refusedSince reports whether the call was refused after an index, or whether that is no longer
// known.
func (r *refusedCalls) refusedSince(since uint64, call []byte) bool {
	if since < r.forgottenIndex {
		return true
	}
	for _, refusal := range slices.Backward(r.refusals) {
		if refusal.Index <= since {
			return false
		}
		if bytes.Equal(refusal.Call, call) {
			return true
		}
	}
	return false
}
