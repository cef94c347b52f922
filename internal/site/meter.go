package site

import (
	"time"

	"example.org/micaline/internal/limit"
)

// meterGain is the weight of a request in the means of what is asked: some hundred settle them.
const meterGain = 0.01

// Account is one that asks.
type Account struct {
	Name            string
	GuaranteedShare float64
}

// Meter measures a Demand. It is not safe for concurrent use.
type DemandMeter struct {
	classes  []ClassDemand
	accounts []Account
	mix      limit.TenantMix
	count    []float64 // share of the requests, by class
	retries  float64
	beyond   []float64 // by account, share of the requests that it asks for beyond its portion
}

// NewMeter returns a meter; the Work of the classes is what is believed of it at first.
func NewDemandMeter(classes []ClassDemand, accounts []Account) *DemandMeter {
	m := &DemandMeter{
		classes: classes, accounts: accounts, mix: limit.NewTenantMix(len(accounts)), count: make([]float64, len(classes)),
		beyond: make([]float64, len(accounts)),
	}
	for i := range m.count {
		m.count[i] = 1 / float64(len(classes))
	}
	return m
}

// Asked takes in a request.
func (m *DemandMeter) RecordRequest(class, account int, retry bool) {
	for i := range m.count {
		m.count[i] += meterGain * (one(i == class) - m.count[i])
	}
	m.retries += meterGain * (one(retry) - m.retries)
	if account < 0 || account >= len(m.accounts) || !(m.accounts[account].GuaranteedShare > 0) {
		return
	}
	p := m.accounts[account].GuaranteedShare
	share := p * m.mix.AddRequest(account, p)
	m.beyond[account] += meterGain * (max(0, share-p) - m.beyond[account])
}

// Served takes in how long a request of a class was in work.
func (m *DemandMeter) RecordServed(class int, took time.Duration) {
	m.classes[class].SecondsPerRequest += meterGain * (took.Seconds() - m.classes[class].SecondsPerRequest)
}

// Demand is what has been asked of late.
func (m *DemandMeter) Demand() *Demand {
	d := &Demand{Classes: append([]ClassDemand(nil), m.classes...), RetryShare: m.retries}
	sum := 0.0
	for i := range d.Classes {
		d.Classes[i].WorkShare = m.count[i] * d.Classes[i].SecondsPerRequest
		sum += d.Classes[i].WorkShare
	}
	for i := range d.Classes {
		d.Classes[i].WorkShare /= max(sum, 1e-9)
	}
	for i, b := range m.beyond {
		if b > 0.01 { // less is chance
			d.AccountsOverShare = append(d.AccountsOverShare, AccountDemand{m.accounts[i].Name, b})
		}
	}
	return d
}

func one(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
