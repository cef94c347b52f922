// Package inventory says which instances there are, where, and with which labels, and chooses among them. It reads the
// operators' fleet file, and is without I/O but for that.
package inventory

import (
	"fmt"
	"os"
	"path"
	"strings"

	"example.org/micaline/internal/api"
	"example.org/micaline/internal/operators"
	"example.org/micaline/internal/tomlfile"
)

// MaxInstances is how many instances one manager or command has to do with at most.
const MaxInstances = 10_000

// Instance is one instance: a place with a name, whatever process is there.
type Instance struct {
	Name   string
	Unix   string // path of its socket; or
	Addr   string // host and port
	Labels map[string]string
}

// Address is where its interface is.
func (i *Instance) Address() api.Address {
	return api.Address{Name: i.Name, Unix: i.Unix, Addr: i.Addr}
}

// Check says what is wrong with an instance. Its error is an *api.FieldError.
func (i *Instance) Check() error {
	a := i.Address()
	if err := a.Check(); err != nil {
		return err
	}
	return operators.CheckLabels("labels", i.Labels)
}

// File is a fleet file: how one comes in at the instances, and those that are known beforehand.
type File struct {
	Access   api.Credentials
	Instance []Instance
}

// Load reads a fleet file.
func Load(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("reading the fleet file: %w", err)
	}
	f, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return f, nil
}

// Parse reads the text of a fleet file. Its errors tell line and field.
func Parse(text []byte) (*File, error) {
	var f File
	if err := tomlfile.Decode(text, &f); err != nil {
		return nil, err
	}
	if err := f.Access.Check(); err != nil {
		return nil, tomlfile.At(text, "access", err)
	}
	if len(f.Instance) > MaxInstances {
		return nil, &tomlfile.Error{Field: "instance", What: fmt.Sprintf("there are %d, and %d are allowed", len(f.Instance), MaxInstances)}
	}
	seen := map[string]bool{}
	for i := range f.Instance {
		in, table := &f.Instance[i], fmt.Sprintf("instance[%d]", i)
		if err := in.Check(); err != nil {
			return nil, tomlfile.At(text, table, err)
		}
		if seen[in.Name] {
			return nil, tomlfile.At(text, table, &api.FieldError{Field: "name", What: fmt.Sprintf("%q is taken", in.Name)})
		}
		seen[in.Name] = true
	}
	return &f, nil
}

// Selector chooses instances by name and label. The zero value chooses all.
type Selector struct{ terms []term }

type term struct {
	label   string // "" for the name
	pattern string // as path.Match has it
	not     bool
}

// ParseSelector reads a selector: terms with commas between them, all of which must hold. A term is a label and what its
// value must be (zone=a) or must not (zone!=a), or a name; both may have wildcards (agent-*).
func ParseSelector(text string) (Selector, error) {
	var s Selector
	if strings.TrimSpace(text) == "" {
		return s, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		t := term{pattern: part}
		if label, value, ok := strings.Cut(part, "="); ok {
			t.label, t.pattern = strings.TrimSpace(label), strings.TrimSpace(value)
			t.label, t.not = strings.CutSuffix(t.label, "!")
			if t.label == "" {
				return s, fmt.Errorf("selector %q: %q has no label", text, part)
			}
		}
		if _, err := path.Match(t.pattern, ""); err != nil || t.pattern == "" {
			return s, fmt.Errorf("selector %q: %q can't be matched", text, part)
		}
		s.terms = append(s.terms, t)
	}
	return s, nil
}

// Match says whether an instance is chosen.
func (s Selector) Match(name string, labels map[string]string) bool {
	for _, t := range s.terms {
		value, has := name, true
		if t.label != "" && t.label != "name" {
			value, has = labels[t.label]
		}
		ok, _ := path.Match(t.pattern, value) // which ParseSelector has tried
		if (ok && has) == t.not {
			return false
		}
	}
	return true
}
