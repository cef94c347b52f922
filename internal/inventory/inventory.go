// Package inventory describes the instances of a fleet by name, address and labels. It loads the
// operators' fleet file, and selects instances by name and label. Reading that file is its only
// I/O.
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

// MaxInstances is the maximum number of instances of one manager or command.
const MaxInstances = 10_000

// Instance is a named instance. It keeps its name when its process is replaced. Exactly one of Unix
// and Addr is set.
type Instance struct {
	Name   string
	Unix   string // path of its socket
	Addr   string // host and port
	Labels map[string]string
}

// Address returns the address of the instance's control interface.
func (i *Instance) Address() api.Address {
	return api.Address{Name: i.Name, Unix: i.Unix, Addr: i.Addr}
}

// Check validates the instance. Its error is an *api.FieldError.
func (i *Instance) Check() error {
	a := i.Address()
	if err := a.Check(); err != nil {
		return err
	}
	return operators.CheckLabels("labels", i.Labels)
}

// File is the content of a fleet file: the credentials for the instances, and the instances.
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

// Parse parses the text of a fleet file. Its errors name the line and field.
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

// Selector selects instances by name and label. The zero value selects all.
type Selector struct{ terms []term }

type term struct {
	label   string // "" for the name
	pattern string // in the syntax of path.Match
	negated bool
}

// ParseSelector parses a selector: terms separated by commas, all of which must match. A term is a
// name, or a label whose value must equal (zone=a) or not equal (zone!=a) a value. Names and values
// may contain wildcards (agent-*). The label "name" stands for the instance's name.
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
			t.label, t.negated = strings.CutSuffix(t.label, "!")
			if t.label == "" {
				return s, fmt.Errorf("selector %q: %q has no label", text, part)
			}
		}
		if _, err := path.Match(t.pattern, ""); err != nil || t.pattern == "" {
			return s, fmt.Errorf("selector %q: %q is not a valid pattern", text, part)
		}
		s.terms = append(s.terms, t)
	}
	return s, nil
}

// Match reports whether the selector matches an instance.
func (s Selector) Match(name string, labels map[string]string) bool {
	for _, t := range s.terms {
		value, has := name, true
		if t.label != "" && t.label != "name" {
			value, has = labels[t.label]
		}
		ok, _ := path.Match(t.pattern, value) // ParseSelector has checked the pattern
		if (ok && has) == t.negated {
			return false
		}
	}
	return true
}
