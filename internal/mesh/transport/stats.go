package transport

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
)

// UseStats is the use of a connection over which a process is queried for its statistics. Each
// StatsQuery is answered by a StatsReport, until the querying process closes the connection.
const UseStats = "stats"

const (
	maxStatsConns    = 8                // stats connections that a process serves at once
	statsIdleTimeout = 90 * time.Second // between two queries; longer than the usual scrape interval
	maxSamples       = 8192             // in one report; far above what a process has
)

// StatsQuery requests the current statistics of a process.
type StatsQuery struct {
	State  bool        // include the structured state
	Traces *TraceQuery // include the traces that match; nil for none
}

// StatsReport is the answer to a StatsQuery.
type StatsReport struct {
	Samples []Sample
	Agent   *AgentState    // of an agent, if the state was requested
	Core    *CoreState     // of a control-plane node, if the state was requested
	Traces  []RequestTrace // of an agent, if traces were requested
}

// Sample is the value of one metric. Package meshmetrics lists the names and labels.
type Sample struct {
	Name   string
	Labels []string // alternating names and values
	Value  float64
}

// AgentState is the state of an agent.
type AgentState struct {
	Node, Zone, Service string
	Ready               bool
	Index               uint64        // of its configuration; 0 if it has none
	Proven              time.Duration // time since it was known to be current; negative if never
	Unheard             time.Duration // time since a control-plane node sent anything; negative if never
	Feeds               int           // control-plane nodes that it is connected to
	Station             Station
}

// CoreState is the state of a control-plane node.
type CoreState struct {
	Node, Zone    string
	Self          string // its control address
	Role, Leader  string // in consensus; an empty Leader is unknown
	Term          uint64
	Commit        uint64
	Applied       uint64
	LeaderChanges uint64
	Members       []Member
	Learners      []string
	Outgoing      []string // voters being removed by a membership change in progress
	Index         uint64   // of the configuration
	Evacuated     []string // evacuated zones
	Feeds         int      // agents connected to this node
	Stations      []StationStatus
	Duties        []DutyState
}

// DutyState is the state of one part of a duty, which is a task that one leaseholder carries out.
type DutyState struct {
	Duty    string
	Holder  string        // MACHINE/PROCESS; empty if nobody holds it
	Fence   uint64        // fencing token
	Renewed uint64        // renewals since the duty was granted
	Term    time.Duration // lease duration
	Why     string        // reason for the latest change of the holder
	Through int64         // the latest usage window that is final; 0 if there is none
	Waiting int           // reports that the platform has not accepted yet
	Behind  time.Duration // time since the end of the oldest usage window without a report
	Taken   uint64        // reports that the platform has accepted
	Lost    uint64        // usage windows that will never be reported
	History []DutyMove    // oldest first
}

// DutyMove is one change in the history of duties.
type DutyMove struct {
	Number uint64
	Duty   string
	Holder string
	Fence  uint64
	Why    string
}

// Member is a control-plane node that takes part in consensus.
type Member struct {
	Control string // address for operators
	Link    string // address for other processes of the mesh
}

// StatsServer serves stats connections. The zero value is ready to use.
type StatsServer struct{ active atomic.Int32 }

// Serve answers queries on a connection until it ends. It closes the connection if collect returns
// nil. The collect function may be called from several goroutines at once.
func (s *StatsServer) Serve(conn *Conn, collect func(StatsQuery) *StatsReport) {
	defer s.active.Add(-1)
	if s.active.Add(1) > maxStatsConns {
		return
	}
	for {
		conn.SetReadDeadline(time.Now().Add(statsIdleTimeout))
		var query StatsQuery
		if conn.Receive(&query) != nil {
			return
		}
		report := collect(query)
		if report == nil {
			return
		}
		conn.SetWriteDeadline(time.Now().Add(unackedTimeout))
		if conn.Send(report, nil) != nil {
			return
		}
	}
}

// CollectStats runs collect on the goroutine that owns a process's state, through its command
// queue. It returns nil if the owner does not answer within the timeout, so that a process that
// hangs is not reported as healthy.
func CollectStats(owner chan<- func(), timeout time.Duration, collect func() *StatsReport) *StatsReport {
	result := make(chan *StatsReport, 1)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case owner <- func() { result <- collect() }:
	case <-timer.C:
		return nil
	}
	select {
	case report := <-result:
		return report
	case <-timer.C:
		return nil
	}
}

// QueryStats sends one query to the process at a link address.
func QueryStats(ctx context.Context, address string, query StatsQuery) (*StatsReport, error) {
	conn, err := Dial(ctx, UseStats, "", address)
	if err != nil {
		return nil, oops.Code("dial").Wrap(err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := conn.Send(query, nil); err != nil {
		return nil, oops.Code("send").Wrap(err)
	}
	var report StatsReport
	if err := conn.Receive(&report); err != nil {
		return nil, oops.Code("receive").Wrapf(err, "%s gives no figures", address)
	}
	if len(report.Samples) > maxSamples {
		return nil, oops.Code("samples").Errorf("%s returned %d samples, more than the limit of %d", address, len(report.Samples), maxSamples)
	}
	return &report, nil
}
