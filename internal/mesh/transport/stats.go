package transport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
)

// Stats is the use of a connection over which a process is asked for its figures: a Question goes,
// Figures come, and so on until who asks closes it.
const UseStats = "stats"

const (
	maxStatsConns = 8                // connections for figures that a process serves at once
	statsIdle     = 90 * time.Second // between two questions: longer than figures are usually asked for
	mostSamples   = 8192             // of one answer, which is far above what a process has
)

// Question asks for the figures as they are now.
type StatsQuery struct {
	State  bool        // with the structured state
	Traces *TraceQuery // only these; nil: none
}

// Figures are what a process counts, and how it stands.
type StatsReport struct {
	Samples []Sample
	Agent   *AgentState    // of an agent, where the state was asked for
	Core    *CoreState     // of a core machine, likewise
	Traces  []RequestTrace // of an agent, where they were asked for
}

// Sample is one figure. What names there are, and with which labels, says package meshmetrics.
type Sample struct {
	Name   string
	Labels []string // names and values in turn
	Value  float64
}

// AgentState is how an agent stands.
type AgentState struct {
	Node, Zone, Service string
	Ready               bool
	Index               uint64        // of the configuration that it has; 0: none
	Proven              time.Duration // since that was known to be current; negative: never
	Unheard             time.Duration // since any core machine said anything; negative: never
	Feeds               int           // core machines that it hears
	Station             Station
}

// CoreState is how a core machine stands.
type CoreState struct {
	Node, Zone    string
	Self          string // its control address
	Role, Leader  string // of the agreement; an empty Leader is unknown
	Term          uint64
	Commit        uint64
	Applied       uint64
	LeaderChanges uint64
	Members       []Member
	Learners      []string
	Outgoing      []string // voters that leave, while a change is under way
	Index         uint64   // of the configuration
	Evacuated     []string // zones
	Feeds         int      // agents that it hears itself
	Stations      []StationStatus
	Duties        []DutyState
}

// DutyState is how a part of a duty stands.
type DutyState struct {
	Duty    string
	Holder  string // a process of a machine, MACHINE/PROCESS; empty: nobody
	Fence   uint64
	Renewed uint64        // times since it was granted
	Term    time.Duration // of a renewal
	Why     string        // it last moved
	Through int64         // the last window that is fixed; 0: none
	Waiting int           // reports that the platform has not taken
	Behind  time.Duration // since the end of the oldest window that it has no report of
	Taken   uint64        // reports that it has
	Lost    uint64        // windows that it will never have a report of
	History []DutyMove    // the newest last
}

// DutyMove is a step in the history of duties.
type DutyMove struct {
	Number uint64
	Duty   string
	Holder string
	Fence  uint64
	Why    string
}

// Member is a core machine that takes part in the agreement.
type Member struct {
	Control string // where operators reach it
	Link    string // where processes of the mesh do
}

// StatsServer serves connections for figures. The zero value is ready.
type StatsServer struct{ now atomic.Int32 }

// Serve answers questions on a connection until it ends. Answer may be called from several
// goroutines at once; nil closes.
func (s *StatsServer) Serve(c *Conn, answer func(StatsQuery) *StatsReport) {
	defer s.now.Add(-1)
	if s.now.Add(1) > maxStatsConns {
		return
	}
	for {
		c.SetReadDeadline(time.Now().Add(statsIdle))
		var q StatsQuery
		if c.Receive(&q) != nil {
			return
		}
		f := answer(q)
		if f == nil {
			return
		}
		c.SetWriteDeadline(time.Now().Add(unheard))
		if c.Send(f, nil) != nil {
			return
		}
	}
}

// CountedBy has the goroutine that owns a process's state count, through its queue of commands. It
// returns nil if the owner does not get to it in time: a process that hangs must not look well.
func CollectStats(owner chan<- func(), wait time.Duration, count func() *StatsReport) *StatsReport {
	answer := make(chan *StatsReport, 1)
	late := time.NewTimer(wait)
	defer late.Stop()
	select {
	case owner <- func() { answer <- count() }:
	case <-late.C:
		return nil
	}
	select {
	case f := <-answer:
		return f
	case <-late.C:
		return nil
	}
}

// AskStats asks the process at a link address once.
func QueryStats(ctx context.Context, link string, q StatsQuery) (*StatsReport, error) {
	c, err := Dial(ctx, UseStats, "", link)
	if err != nil {
		return nil, oops.Code("dial").Wrap(err)
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := c.Send(q, nil); err != nil {
		return nil, oops.Code("send").Wrap(err)
	}
	var f StatsReport
	if err := c.Receive(&f); err != nil {
		return nil, oops.Code("receive").Wrapf(err, "%s gives no figures", link)
	}
	if len(f.Samples) > mostSamples {
		return nil, oops.Code("samples").Errorf("%s gives %d figures, at most %d are taken", link, len(f.Samples), mostSamples)
	}
	return &f, nil
}
