package site

import (
	"time"

	"example.org/micaline/internal/limit"
)

// meterGain is the weight of one request in the moving averages, which settle after some hundred
// requests.
const meterGain = 0.01

// Account is a customer account and its guaranteed share of the requests.
type Account struct {
	Name            string
	GuaranteedShare float64
}

// DemandMeter measures the recent Demand. It is not safe for concurrent use.
type DemandMeter struct {
	classes        []ClassDemand
	accounts       []Account
	recentRequests limit.TenantMix
	requestShare   []float64 // share of the requests, by class
	retryShare     float64
	excessShare    []float64 // by account, share of the requests beyond its guaranteed share
}

// NewDemandMeter returns a meter. The SecondsPerRequest of the classes are its initial estimates.
func NewDemandMeter(classes []ClassDemand, accounts []Account) *DemandMeter {
	m := &DemandMeter{
		classes: classes, accounts: accounts, recentRequests: limit.NewTenantMix(len(accounts)), requestShare: make([]float64, len(classes)),
		excessShare: make([]float64, len(accounts)),
	}
	for i := range m.requestShare {
		m.requestShare[i] = 1 / float64(len(classes))
	}
	return m
}

// RecordRequest records an incoming request.
func (m *DemandMeter) RecordRequest(class, account int, retry bool) {
	for i := range m.requestShare {
		m.requestShare[i] += meterGain * (indicator(i == class) - m.requestShare[i])
	}
	m.retryShare += meterGain * (indicator(retry) - m.retryShare)
	if account < 0 || account >= len(m.accounts) || !(m.accounts[account].GuaranteedShare > 0) {
		return
	}
	guaranteed := m.accounts[account].GuaranteedShare
	share := guaranteed * m.recentRequests.AddRequest(account, guaranteed)
	m.excessShare[account] += meterGain * (max(0, share-guaranteed) - m.excessShare[account])
}

// RecordServed records how long a served request of a class was in flight.
func (m *DemandMeter) RecordServed(class int, elapsed time.Duration) {
	m.classes[class].SecondsPerRequest += meterGain * (elapsed.Seconds() - m.classes[class].SecondsPerRequest)
}

// Demand returns the recent demand.
func (m *DemandMeter) Demand() *Demand {
	demand := &Demand{Classes: append([]ClassDemand(nil), m.classes...), RetryShare: m.retryShare}
	total := 0.0
	for i := range demand.Classes {
		demand.Classes[i].WorkShare = m.requestShare[i] * demand.Classes[i].SecondsPerRequest
		total += demand.Classes[i].WorkShare
	}
	for i := range demand.Classes {
		demand.Classes[i].WorkShare /= max(total, 1e-9)
	}
	for i, excess := range m.excessShare {
		if excess > 0.01 { // smaller values are noise
			demand.AccountsOverShare = append(demand.AccountsOverShare, AccountDemand{m.accounts[i].Name, excess})
		}
	}
	return demand
}

// indicator returns 1 if the condition holds and 0 otherwise.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
