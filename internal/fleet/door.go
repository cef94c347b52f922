package fleet

import (
	"net"
	"sync"

	"example.org/micaline/internal/standin/network"
)

// door is an agent's listener, which knows the connections that came through it.
type door struct {
	net.Listener
	mu    sync.Mutex
	shut  bool
	conns map[net.Conn]struct{}
}

// guest is a connection that came through a door.
type guest struct {
	net.Conn
	door *door
}

func (d *door) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g := &guest{c, d}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shut {
		network.Reset(c)
	} else {
		d.conns[c] = struct{}{}
	}
	return g, nil
}

func (g *guest) Close() error {
	g.door.mu.Lock()
	delete(g.door.conns, g.Conn)
	g.door.mu.Unlock()
	return g.Conn.Close()
}

func (g *guest) Waiting(b []byte) int {
	if w, ok := g.Conn.(interface{ Waiting([]byte) int }); ok {
		return w.Waiting(b)
	}
	return 0
}

func (g *guest) CloseWrite() error { return g.Conn.(interface{ CloseWrite() error }).CloseWrite() }

// slam resets all connections, as the death of the process does.
func (d *door) slam() {
	d.Listener.Close()
	d.mu.Lock()
	d.shut = true
	conns := d.conns
	d.conns = map[net.Conn]struct{}{}
	d.mu.Unlock()
	for c := range conns {
		network.Reset(c)
	}
}
