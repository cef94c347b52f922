// Package document defines the settings document, which holds what operators may change on a running
// instance. Fields that it leaves out keep the value that the platform has configured. The package
// does no I/O.
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

// MaxSize is the maximum size of a document in bytes.
const MaxSize = 64 << 10

// The parts of a document, in the order in which they are applied.
const (
	PartService   = "service"   // concurrency limit and address of discovery
	PartSites     = "sites"     // sites that are evacuated
	PartDecisions = "decisions" // settings of the decision module
)

// Parts lists all parts in the order in which they are applied.
var Parts = []string{PartService, PartSites, PartDecisions}

// Document contains the settings that an operator wants. Absent fields are nil.
type Document struct {
	Service   ServicePart              `json:"service,omitzero"`
	Sites     map[string]EvacuatedSite `json:"sites,omitempty"` // evacuated sites by name
	Decisions DecisionsPart            `json:"decisions,omitzero"`
}

// EvacuatedSite is a site that is evacuated until a time on the instance's clock. The end is a point in
// time rather than a duration, so that a restarted instance that gets the document again evacuates the
// site only for the remaining time.
type EvacuatedSite struct {
	Until time.Time `json:"out_until"`
	Why   string    `json:"why"`
	Force bool      `json:"though_the_others_cannot_carry_it,omitempty"`
}

// maxReasonBytes is the maximum length of a reason.
const maxReasonBytes = 200

// ServicePart contains the concurrency limit and the address of discovery.
type ServicePart struct {
	Requests  *int    `json:"requests,omitempty"`  // maximum number in flight
	Discovery *string `json:"discovery,omitempty"` // host and port
}

// DecisionsPart contains the settings of the decision module.
type DecisionsPart struct {
	MaxAttempts  *int               `json:"max_attempts,omitempty"`  // per request, retries and hedges included
	SecondCopies *bool              `json:"second_copies,omitempty"` // whether requests may be hedged
	Probes       *bool              `json:"probes,omitempty"`
	Classes      map[string]Class   `json:"classes,omitempty"`
	Accounts     map[string]Account `json:"accounts,omitempty"`
}

// Class contains the settings of a request class that may be changed. The effect of a class depends on
// the application and can't be changed here.
type Class struct {
	AimMS *float64 `json:"aim_ms,omitempty"` // target latency in milliseconds
	Worth *float64 `json:"worth,omitempty"`  // value of an answer
}

// Account contains the settings of a tenant that may be changed.
type Account struct {
	Portion *float64 `json:"portion,omitempty"` // guaranteed share of the capacity, from 0 to 1
}

// FieldError reports an invalid field of a document. Field is its path; it is empty if the document as
// a whole is invalid.
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

func invalidField(field, format string, args ...any) *FieldError {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// Parse parses a document. Its error is a *FieldError. It does not validate the values: Check does this
// for the configuration of an instance.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxSize {
		return nil, invalidField("", "the document has %d bytes; the limit is %d", len(text), MaxSize)
	}
	var d Document
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, invalidField(typeErr.Field, "got a %s, want a %s", typeErr.Value, typeErr.Type)
		}
		if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			return nil, invalidField(strings.Trim(name, `"`), "there is no such field")
		}
		return nil, invalidField("", "the document can't be read: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, invalidField("", "unexpected data after the document")
	}
	return &d, nil
}

// Hash returns a hash of the document's content. Documents with equal content have equal hashes.
func (d *Document) Hash() string {
	text, _ := json.Marshal(d) // can't fail on values that Parse has read; map keys are sorted
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// Check validates the whole document against the platform settings of an instance. Its error is a
// *FieldError.
func (d *Document) Check(base *settings.Settings) error {
	if r := d.Service.Requests; r != nil && (*r < 1 || *r > 1<<20) {
		return invalidField("service.requests", "%d is not between 1 and %d", *r, 1<<20)
	}
	if a := d.Service.Discovery; a != nil {
		if _, err := netip.ParseAddrPort(*a); err != nil {
			return invalidField("service.discovery", "%v", err)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Sites)) {
		switch s, field := d.Sites[name], "sites."+name; {
		case !slices.Contains(base.Zones, name):
			return invalidField(field, "the instance has no such site")
		case s.Until.IsZero():
			return invalidField(field+".out_until", "missing")
		case s.Why == "" || len(s.Why) > maxReasonBytes:
			return invalidField(field+".why", "the reason has %d bytes; it must have 1 to %d", len(s.Why), maxReasonBytes)
		}
	}
	if n := d.Decisions.MaxAttempts; n != nil && (*n < 1 || *n > 100) {
		return invalidField("decisions.max_attempts", "%d is not between 1 and 100", *n)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Decisions.Classes)) {
		c, field := d.Decisions.Classes[name], "decisions.classes."+name
		i := slices.Index(base.Classes, name)
		if i < 0 {
			return invalidField(field, "the instance has no such class")
		}
		if c.AimMS != nil && !(*c.AimMS > 0 && settings.Millis(*c.AimMS) <= base.Module.Classes[i].Deadline) {
			return invalidField(field+".aim_ms", "%v is not between 0 and the class's deadline, %v", *c.AimMS, base.Module.Classes[i].Deadline)
		}
		if c.Worth != nil && !(*c.Worth >= 0 && *c.Worth <= 1e6) {
			return invalidField(field+".worth", "%v is not between 0 and 1000000", *c.Worth)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Decisions.Accounts)) {
		if slices.Index(base.Tenants, name) < 0 {
			return invalidField("decisions.accounts."+name, "the instance has no such account")
		}
		if p := d.Decisions.Accounts[name].Portion; p != nil && !(*p >= 0 && *p <= 1) {
			return invalidField("decisions.accounts."+name+".portion", "%v is not between 0 and 1", *p)
		}
	}
	if _, err := policy.New(d.PolicySettings(base), 0); err != nil {
		return invalidField("decisions", "%v", err)
	}
	return nil
}

// PolicySettings returns the settings of the decision module: the platform settings, overridden by
// those of the document. It does not modify base.
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

// Difference is a field in which two documents differ. The value of an absent field is "".
type Difference struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Diff returns the fields in which another document differs, sorted by path.
func (d *Document) Diff(other *Document) (differences []Difference) {
	a, b := d.flatten(), other.flatten()
	names := map[string]bool{}
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if a[name] != b[name] {
			differences = append(differences, Difference{name, a[name], b[name]})
		}
	}
	return differences
}

// flatten returns the values of the document by the paths of their fields.
func (d *Document) flatten() map[string]string {
	text, _ := json.Marshal(d)
	var tree map[string]any
	json.Unmarshal(text, &tree) // can't fail on the output of Marshal
	values := map[string]string{}
	var visit func(path string, v any)
	visit = func(path string, v any) {
		if m, ok := v.(map[string]any); ok {
			for name, v := range m {
				visit(strings.TrimPrefix(path+"."+name, "."), v)
			}
			return
		}
		values[path] = fmt.Sprint(v)
	}
	visit("", tree)
	return values
}
