package inventory

import (
	"fmt"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	f, err := Parse([]byte(`
[access]
ca = "/ca.pem"
token_file = "/token"

[[instance]]
name = "agent-1"
addr = "127.0.0.1:7443"
labels = {zone = "a"}

[[instance]]
name = "agent-2"
unix = "/run/2.sock"
`))
	if err != nil {
		t.Fatal(err)
	}
	if len(f.Instance) != 2 || f.Access.CA != "/ca.pem" || f.Instance[0].Labels["zone"] != "a" || f.Instance[1].Address().Unix != "/run/2.sock" {
		t.Errorf("read %+v", f)
	}
	for text, want := range map[string]string{
		"[access]\nca = \"ca.pem\"\n":                                                      "line 2: access.ca",
		"[access]\nkey = \"/k\"\n":                                                         "line 2: access.key",
		"[[instance]]\nname = \"a b\"\nunix = \"/x\"\n":                                    "line 2: instance[0].name",
		"[[instance]]\nname = \"a\"\n":                                                     "instance[0].addr",
		"[[instance]]\nname = \"a\"\naddr = \"x\"\n":                                       "line 3: instance[0].addr",
		"[[instance]]\nname = \"a\"\nunix = \"/x\"\naddr = \"127.0.0.1:1\"\n":              "instance[0].addr",
		"[[instance]]\nname = \"a\"\nunix = \"/x\"\n[[instance]]\nname=\"a\"\nunix=\"/y\"": "line 5: instance[1].name",
		"[[instance]]\nname = \"a\"\nunix = \"/x\"\nlabels = {\"a b\" = \"c\"}\n":          "instance[0].labels",
		"[[instance]]\nname = \"a\"\nport = 3\n":                                           "line 3: instance.port",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	var many strings.Builder
	for i := range MaxInstances + 1 {
		fmt.Fprintf(&many, "[[instance]]\nname = \"i%d\"\nunix = \"/x\"\n", i)
	}
	if _, err := Parse([]byte(many.String())); err == nil || !strings.Contains(err.Error(), "10000") {
		t.Errorf("too many: %v", err)
	}
}

func TestSelector(t *testing.T) {
	labels := map[string]string{"zone": "a", "kind": "big"}
	for text, want := range map[string]bool{
		"": true, " ": true, "agent-1": true, "agent-*": true, "agent-2": false, "zone=a": true, "zone=b": false, "zone!=b": true, "zone!=a": false,
		"zone=a,kind=big": true, "zone=a, kind=small": false, "name=agent-?": true, "cell=1": false, "cell!=1": true, "agent-*,zone=*": true, "cell=*": false,
	} {
		s, err := ParseSelector(text)
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Match("agent-1", labels); got != want {
			t.Errorf("%q: %v", text, got)
		}
	}
	for _, text := range []string{"=a", "[", "zone=[", ",", "zone="} {
		if _, err := ParseSelector(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
