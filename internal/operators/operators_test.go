package operators

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operators.toml")
	if s, err := Load(path); err != nil || *s != (Settings{}) {
		t.Errorf("without a file: %+v, error %v", s, err)
	}
	for _, c := range []struct{ text, unix, wrong string }{
		{"", "", ""},
		{"[control]\nunix = \"/run/x.sock\"\n", "/run/x.sock", ""},
		{"[control]\nunix = \"x.sock\"\n", "", "line 2: control.unix"},
		{"[control]\nunix = 3\n", "", "line 2: control.unix"},
		{"[control]\n\nport = 3\n", "", "line 3: control.port"},
		{"[control\n", "", "line 1"},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(path)
		switch {
		case c.wrong == "" && (err != nil || s.Control.Unix != c.unix):
			t.Errorf("%q: %+v, error %v", c.text, s, err)
		case c.wrong != "" && (err == nil || !strings.Contains(err.Error(), c.wrong)):
			t.Errorf("%q: error %v, want %q", c.text, err, c.wrong)
		}
	}
}
