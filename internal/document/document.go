// Package document is the settings document: what operators may change on an instance while it serves. What it leaves
// out is as the platform has configured it. It has no I/O.
package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"example.org/micaline/internal/settings"
	"example.org/micaline/policy"
)

// MaxSize is how many bytes a document may have.
const MaxSize = 64 << 10

// The parts of a document, in the order in which they are applied.
const (
	PartService   = "service"   // how much is taken, and where discovery is
	PartSites     = "sites"     // which are taken out by hand
	PartDecisions = "decisions" // what the decision module goes by
)

// Parts are all of them.
var Parts = []string{PartService, PartSites, PartDecisions}

// Document is the settings that an operator wants. Absent fields are nil.
type Document struct {
	Service   ServicePart              `json:"service,omitzero"`
	Sites     map[string]EvacuatedSite `json:"sites,omitempty"` // taken out, by name
	Decisions DecisionsPart            `json:"decisions,omitzero"`
}

// Site is one that is taken out by hand, until a time by the instance's clock: one that begins anew and is brought to the
// document again takes it out for what is left of that.
type EvacuatedSite struct {
	Until time.Time `json:"out_until"`
	Why   string    `json:"why"`
	Force bool      `json:"though_the_others_cannot_carry_it,omitempty"`
}

// mostWhy is how long a reason may be, in bytes.
const mostWhy = 200

// ServicePart is how much is taken, and where discovery is.
type ServicePart struct {
	Requests  *int    `json:"requests,omitempty"`  // held at once at most
	Discovery *string `json:"discovery,omitempty"` // host and port
}

// DecisionsPart is what the decision module goes by.
type DecisionsPart struct {
	MaxAttempts  *int               `json:"max_attempts,omitempty"`
	SecondCopies *bool              `json:"second_copies,omitempty"`
	Probes       *bool              `json:"probes,omitempty"`
	Classes      map[string]Class   `json:"classes,omitempty"`
	Accounts     map[string]Account `json:"accounts,omitempty"`
}

// Class is what may be changed of a class. Its effect is the application's and can't be.
type Class struct {
	AimMS *float64 `json:"aim_ms,omitempty"`
	Worth *float64 `json:"worth,omitempty"`
}

// Account is what may be changed of an account.
type Account struct {
	Portion *float64 `json:"portion,omitempty"`
}

// FieldError is what is wrong with a document, and where.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

func bad(field, format string, args ...any) *FieldError {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// Parse reads a document. Its error is a *FieldError. Whether an instance can use the document, Check says.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxSize {
		return nil, bad("", "the document has %d bytes, and %d are allowed", len(text), MaxSize)
	}
	var d Document
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return nil, bad(kind.Field, "a %s is no %s", kind.Value, kind.Type)
		}
		if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			return nil, bad(strings.Trim(name, `"`), "there is no such field")
		}
		return nil, bad("", "the document can't be read: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, bad("", "there is more behind the document")
	}
	return &d, nil
}

// Hash names the document: two that say the same have the same.
func (d *Document) Hash() string {
	text, _ := json.Marshal(d) // of numbers that Parse has read, with sorted keys
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// Check says whether an instance that was configured so can use the document whole. Its error is a *FieldError.
func (d *Document) Check(base *settings.Settings) error {
	if r := d.Service.Requests; r != nil && (*r < 1 || *r > 1<<20) {
		return bad("service.requests", "%d is not between 1 and %d", *r, 1<<20)
	}
	if a := d.Service.Discovery; a != nil {
		if _, err := netip.ParseAddrPort(*a); err != nil {
			return bad("service.discovery", "%v", err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Sites)) {
		switch s, field := d.Sites[name], "sites."+name; {
		case !slices.Contains(base.Zones, name):
			return bad(field, "the instance has no such site")
		case s.Until.IsZero():
			return bad(field+".out_until", "missing")
		case s.Why == "" || len(s.Why) > mostWhy:
			return bad(field+".why", "it has %d bytes, and 1 to %d are wanted", len(s.Why), mostWhy)
		}
	}
	if n := d.Decisions.MaxAttempts; n != nil && (*n < 1 || *n > 100) {
		return bad("decisions.max_attempts", "%d is not between 1 and 100", *n)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Decisions.Classes)) {
		c, field := d.Decisions.Classes[name], "decisions.classes."+name
		i := slices.Index(base.Classes, name)
		if i < 0 {
			return bad(field, "the instance has no such class")
		}
		if c.AimMS != nil && !(*c.AimMS > 0 && settings.Millis(*c.AimMS) <= base.Module.Classes[i].Deadline) {
			return bad(field+".aim_ms", "%v is not between 0 and the class's deadline, %v", *c.AimMS, base.Module.Classes[i].Deadline)
		}
		if c.Worth != nil && !(*c.Worth >= 0 && *c.Worth <= 1e6) {
			return bad(field+".worth", "%v is not between 0 and 1000000", *c.Worth)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Decisions.Accounts)) {
		if slices.Index(base.Tenants, name) < 0 {
			return bad("decisions.accounts."+name, "the instance has no such account")
		}
		if p := d.Decisions.Accounts[name].Portion; p != nil && !(*p >= 0 && *p <= 1) {
			return bad("decisions.accounts."+name+".portion", "%v is no share", *p)
		}
	}
	if _, err := policy.New(d.PolicySettings(base), 0); err != nil {
		return bad("decisions", "%v", err)
	}
	return nil
}

// Module is what the decision module is to go by: the document's word over the platform's.
func (d *Document) PolicySettings(base *settings.Settings) policy.Settings {
	s := base.Module
	if v := d.Decisions.MaxAttempts; v != nil {
		s.MaxAttempts = *v
	}
	if v := d.Decisions.SecondCopies; v != nil {
		s.SecondCopies = *v
	}
	if v := d.Decisions.Probes; v != nil {
		s.Probes = *v
	}
	s.Classes, s.Tenants = slices.Clone(s.Classes), slices.Clone(s.Tenants)
	for name, c := range d.Decisions.Classes {
		if i := slices.Index(base.Classes, name); i >= 0 {
			if c.AimMS != nil {
				s.Classes[i].Aim = settings.Millis(*c.AimMS)
			}
			if c.Worth != nil {
				s.Classes[i].Worth = *c.Worth
			}
		}
	}
	for name, a := range d.Decisions.Accounts {
		if i := slices.Index(base.Tenants, name); i >= 0 && a.Portion != nil {
			s.Tenants[i].Portion = *a.Portion
		}
	}
	return s
}

// Difference is one field in which two documents differ; an absent one is "".
type Difference struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Diff returns the fields in which another document differs, in order.
func (d *Document) Diff(to *Document) (all []Difference) {
	a, b := d.fields(), to.fields()
	names := map[string]bool{}
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if a[name] != b[name] {
			all = append(all, Difference{name, a[name], b[name]})
		}
	}
	return all
}

// fields are the values that the document has, by the paths of their fields.
func (d *Document) fields() map[string]string {
	text, _ := json.Marshal(d)
	var tree map[string]any
	json.Unmarshal(text, &tree) // which was made just now
	out := map[string]string{}
	var walk func(path string, v any)
	walk = func(path string, v any) {
		if m, ok := v.(map[string]any); ok {
			for name, v := range m {
				walk(strings.TrimPrefix(path+"."+name, "."), v)
			}
			return
		}
		out[path] = fmt.Sprint(v)
	}
	walk("", tree)
	return out
}
