package agent

import (
	"fmt"
	"strings"
	"testing"
)

func testConfig(t *testing.T, discovery, settings string) *Config {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"1f",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"known":{"revision":1,"complete":true,"members":[]},"settings":%s}`, discovery, settings)
	cfg, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func TestBadConfig(t *testing.T) {
	good := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":[]},"settings":%s}`, testSettings)
	if _, err := ParseConfig([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ field, old, new string }{
		{"listen", `"127.0.0.1:0"`, `"here"`},
		{"discovery", `"127.0.0.1:1"`, `""`},
		{"seed", `"1f"`, `"xyz"`},
		{"limits.cores", `"cores":1`, `"cores":0`},
		{"limits.memory_mb", `:192`, `:1`},
		{"limits.sockets", `:1024`, `:10`},
		{"known", `"revision":1,`, ``},
		{"limits.connectTimeout", `"connectTimeout":2000`, `"connectTimeout":0`},
		{"MaxAttempts", `"maxAttempts":3`, `"maxAttempts":0`},
		{"categories[1].name", `"name":"celled"`, `"name":"keyed"`},
		{"report.how", `"off"`, `"odd"`},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		_, err := ParseConfig([]byte(text))
		if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", c.field, err)
		}
	}
}

func TestPeersConfig(t *testing.T) {
	text := func(allowed bool, fields string) []byte {
		s := strings.Replace(testSettings, `"connectTimeout":2000`, fmt.Sprintf(`"connectTimeout":2000,"peerMessages":%v`, allowed), 1)
		return fmt.Appendf(nil, `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
			"limits":{"cores":1,"memory_mb":192,"sockets":1024},%s"settings":%s}`, fields, s)
	}
	const good = `"peer_listen":"127.0.0.1:7946","peers":["127.0.0.2:7946","127.0.0.3:7946"],"peers_all":"127.0.0.9:7946",`
	cfg, err := ParseConfig(text(true, good))
	if err != nil || len(cfg.Peers.Sources) != 2 || cfg.Peers.Broadcast.String() != "127.0.0.9:7946" {
		t.Errorf("peers %+v, error %v", cfg.Peers, err)
	}
	if cfg, err = ParseConfig(text(false, good)); err != nil || cfg.Peers.Listen.IsValid() {
		t.Errorf("where the settings allow no talk: peers %+v, error %v", cfg.Peers, err)
	}
	for _, c := range []struct{ field, old, new string }{
		{"peer_listen", `"127.0.0.1:7946"`, `"here"`}, {"peers[1]", `"127.0.0.3:7946"`, `"there"`}, {"peers_all", `"127.0.0.9:7946"`, `""`},
	} {
		if _, err := ParseConfig(text(true, strings.Replace(good, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.field) {
			t.Errorf("%s: error %v", c.field, err)
		}
	}
}
