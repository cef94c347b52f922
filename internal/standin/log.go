// Package standin is the world round an agent: backends, discovery and clients that behave, and misbehave, as the
// protocol and deployment pages say. They are written from those pages and share nothing with the agent but the wire.
// Each writes down what it sees, for package rules to judge.
package standin

import (
	"sync"
	"time"

	"example.org/micaline/internal/rules"
)

// The protocol's names.
const (
	callIDHeader      = "X-Call-Id"
	classHeader       = "X-Call-Class"
	tenantHeader      = "X-Caller"
	budgetHeader      = "X-Budget"
	againHeader       = "X-Again"
	idempotencyHeader = "Idempotency-Key"
	loadHeader        = "X-Load-Report"
	rejectedHeader    = "X-Rejected"

	alivePath = "/alive"
	loadPath  = "/metrics/load"
	listPath  = "/discovery/hosts"
)

// Log takes down what happens, in order, and has it judged.
type Log struct {
	start time.Time

	mu      sync.Mutex
	checker *rules.Checker
	tap     func(*rules.Record)
}

// NewLog returns a log that begins now. The tap, if any, sees each record; it is called from one goroutine at a time
// and must not wait.
func NewLog(terms rules.Terms, tap func(*rules.Record)) *Log {
	return &Log{start: time.Now(), checker: rules.NewChecker(terms), tap: tap}
}

// Now is the time of the records.
func (l *Log) Now() time.Duration { return time.Since(l.start) }

// Add takes a record down, as of now.
func (l *Log) Add(r rules.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.At = l.Now()
	l.checker.Add(r)
	if l.tap != nil {
		l.tap(&r)
	}
}

// Verdicts ends the log and returns what it says of the rules.
func (l *Log) Verdicts() [4]rules.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checker.Verdicts()
}
