package transport

import (
	"net"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkKept measures the memory of one end of an idle connection that has carried one request.
// A sender keeps such connections to each gate that it used recently, and a gate has one from each
// sender. Both ends are in this process.
func BenchmarkKept(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	defer listener.Close()
	memoryInUse := func() float64 {
		runtime.GC()
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc + stats.StackInuse)
	}
	req := Request{Try: "1", Target: "i-1", Method: "GET", URI: "/", Host: "host", Header: []string{"a", "b"}}
	before := memoryInUse()
	var conns []*Conn
	for range b.N {
		out, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(b, err)
		in, err := listener.Accept()
		require.NoError(b, err)
		from, to := NewConn(out), NewConn(in)
		require.NoError(b, from.Send(&req, nil))
		require.NoError(b, to.Receive(new(Request)))
		require.NoError(b, to.Send(&Reply{Status: 200, Header: []string{"a", "b"}}, nil))
		require.NoError(b, from.Receive(new(Reply)))
		conns = append(conns, from, to)
	}
	b.ReportMetric((memoryInUse()-before)/float64(b.N)/2/1024, "KB/end")
	for _, c := range conns {
		c.Close()
	}
}
