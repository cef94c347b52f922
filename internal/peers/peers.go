// Package peers shares counts among agents that may send one another short messages: what each has out at each server,
// and how many it has learnt that the server answers in time. A Sharer stands before an agent's decision module, hands it
// what the others tell, and says what to tell them. It does no I/O, has no clock and starts no goroutines.
//
// Messages may be lost, late, out of order or anybody's. Each holds all that its sender has to tell, so that the next one
// mends whatever became of the last; a sender that is not heard for a while counts for nothing.
package peers

import (
	"encoding/binary"
	"math"
	"time"

	"example.org/micaline/policy"
)

const (
	version = 1
	// MostBytes is the longest message that the platform carries.
	MostBytes = 256

	headBytes  = 3 // version, rank
	entryBytes = 5 // 24 bits of the server's key, what is out, the limit in halves
	mostShares = (MostBytes - headBytes) / entryBytes

	tellEvery  = 100 * time.Millisecond  // a message at most, once much has changed,
	tellSlow   = 500 * time.Millisecond  // or this long after the last, if anything has
	tellAgain  = 1000 * time.Millisecond // or this, if anything is out
	enough     = 4                       // requests that have come or gone are much
	forgetting = 2500 * time.Millisecond // after which a silent agent is deemed gone

	// token marks our timer; the module's own stay below.
	token = 0xfe << 56
)

// Decider decides for an agent.
type Decider interface {
	// Handle takes one event and appends what must be done to out.
	Handle(now time.Duration, ev policy.Event, out []policy.Action) []policy.Action
}

// NewDecider returns the decision module, behind a Sharer where the settings allow messages.
func NewDecider(s policy.Settings, seed uint64) (Decider, error) {
	b, err := policy.New(s, seed)
	if err != nil {
		return nil, err
	}
	if s.Peers {
		return New(b, s), nil
	}
	return b, nil
}

// share is what one agent tells of one server.
type share struct{ out, limit float64 }

// sender is what another agent has told last.
type sender struct {
	at     time.Duration
	shares map[uint32]share // by key
}

// Sharer is a decision module and what other agents tell it. It is not safe for concurrent use.
type Sharer struct {
	*policy.Balancer
	rank, agents int
	now          time.Duration
	senders      map[int]*sender
	known        map[uint32]policy.ServerID // by key, those of the module's servers
	given        map[policy.ServerID]share  // what the module has been given
	told         map[uint32]int             // what we have told last
	toldAt       time.Duration
	awake        bool // a timer is out
	buf          []byte
}

// New returns a Sharer before a module with these settings.
func New(b *policy.Balancer, s policy.Settings) *Sharer {
	return &Sharer{
		Balancer: b, rank: s.Rank, agents: s.Agents,
		senders: map[int]*sender{}, known: map[uint32]policy.ServerID{}, given: map[policy.ServerID]share{}, told: map[uint32]int{},
	}
}

// Handle takes one event and appends what must be done to out. The Data of an ActBroadcast lives until the next call.
func (p *Sharer) Handle(now time.Duration, ev policy.Event, out []policy.Action) []policy.Action {
	p.now = max(now, p.now)
	switch {
	case ev.Kind == policy.EventPeerMessage:
		p.hear(ev.Data)
		p.give()
		return out
	case ev.Kind == policy.EventTimer && ev.Token == token:
		p.awake = false
		p.give() // what has grown old
	default:
		out = p.Balancer.Handle(now, ev, out)
		if ev.Kind == policy.EventList {
			p.learn()
			p.give()
		}
	}
	return p.tell(out)
}

func key(e *policy.ServerEntry) uint32 { return e.Key & 0xffffff }

// learn notes which servers the module knows by now.
func (p *Sharer) learn() {
	clear(p.known)
	ids := make(map[policy.ServerID]bool, len(p.given))
	p.EachServerLoad(func(e *policy.ServerEntry, _ int, _ float64) {
		p.known[key(e)] = e.ID
		ids[e.ID] = true
	})
	for id := range p.given {
		if !ids[id] {
			delete(p.given, id)
		}
	}
}

// hear takes in a message. One that cannot be read, or is not another agent's, changes nothing.
func (p *Sharer) hear(msg []byte) {
	if len(msg) < headBytes || len(msg) > MostBytes || (len(msg)-headBytes)%entryBytes != 0 || msg[0] != version {
		return
	}
	rank := int(binary.BigEndian.Uint16(msg[1:]))
	if rank == p.rank || rank >= p.agents { // danger: what is out at us must not count twice, nor senders without end
		return
	}
	from := p.senders[rank]
	if from == nil {
		from = &sender{shares: map[uint32]share{}}
		p.senders[rank] = from
	}
	from.at = p.now
	clear(from.shares)
	for e := msg[headBytes:]; len(e) > 0; e = e[entryBytes:] {
		k := uint32(e[0])<<16 | uint32(e[1])<<8 | uint32(e[2])
		from.shares[k] = share{float64(e[3]), max(1, float64(e[4])/2)} // danger: by a limit of 0 nothing would be sent
	}
}

// give hands the module what has changed of the others' sums.
func (p *Sharer) give() {
	sums := make(map[policy.ServerID]share, len(p.given))
	for rank, from := range p.senders {
		if p.now-from.at > forgetting {
			delete(p.senders, rank)
			continue
		}
		for k, s := range from.shares {
			if id, ok := p.known[k]; ok {
				sum := sums[id]
				sums[id] = share{sum.out + s.out, sum.limit + s.out*s.limit}
			}
		}
	}
	for id := range p.given {
		if _, ok := sums[id]; !ok {
			sums[id] = share{}
		}
	}
	for id, s := range sums {
		if s.out > 0 {
			s.limit /= s.out
		}
		if p.given[id] == s {
			continue
		}
		p.given[id] = s
		p.Balancer.Handle(p.now, policy.Event{Kind: policy.EventPeerLoad, Server: id, PeerInFlight: s.out, PeerLimit: s.limit}, nil)
	}
}

// tell says what is out, if it is time to.
func (p *Sharer) tell(out []policy.Action) []policy.Action {
	changed, any := 0, false
	p.EachServerLoad(func(e *policy.ServerEntry, n int, _ float64) {
		was := p.told[key(e)]
		changed += max(n-was, was-n)
		any = any || n > 0
	})
	if changed == 0 && !any {
		return out
	}
	wait := tellAgain
	switch {
	case changed >= enough:
		wait = tellEvery
	case changed > 0:
		wait = tellSlow
	}
	if due := p.toldAt + wait; p.toldAt != 0 && p.now < due {
		if !p.awake {
			p.awake = true
			out = append(out, policy.Action{Kind: policy.ActTimer, Wait: due - p.now, Token: token})
		}
		return out
	}
	p.toldAt = p.now
	return append(out, policy.Action{Kind: policy.ActBroadcast, Data: p.message()})
}

// message is all there is to tell, servers without an attempt of ours left out.
func (p *Sharer) message() []byte {
	p.buf = binary.BigEndian.AppendUint16(append(p.buf[:0], version), uint16(p.rank))
	clear(p.told)
	p.EachServerLoad(func(e *policy.ServerEntry, n int, limit float64) {
		if n <= 0 || len(p.told) >= mostShares {
			return
		}
		k := key(e)
		p.told[k] = n
		p.buf = append(p.buf, byte(k>>16), byte(k>>8), byte(k), byte(min(n, math.MaxUint8)), byte(min(2*limit, math.MaxUint8)))
	})
	return p.buf
}
