// Package transport is the link: what passes between the mesh's own processes, over TCP.
//
// There are four uses of a connection, told by the Hello that opens it:
//
//   - an exchange: the agent beside a caller, the sender, hands requests to the agent beside a backend, the gate, one at a time.
//     A Request and its body go, a Reply and its body come. The connection is kept for the next.
//   - a feed: an agent tells a core machine about itself and its backend, and hears the configuration and all other agents.
//   - a peer: core machines exchange the messages of their agreement, each direction over a connection of its own.
//   - stats: a process is asked for its figures.
//
// Heads are gob values, each message written at once with the raw bytes that follow it. A connection that breaks proves nothing
// about what went over it: who must know whether a request ran is told by a Verdict, or takes it that it may have.
package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/gob"
	"hash/crc32"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"example.org/micaline/internal/tcp"
	"github.com/samber/oops"
	"golang.org/x/sys/unix"
)

// Uses of a connection.
const (
	UseExchange = "exchange"
	UseFeed     = "feed"
	UsePeer     = "peer"
)

// Hello opens a connection. A process that does not know the use or the version closes it.
type Hello struct {
	Version int
	Use     string
	From    string // control address of who opens it
}

// Version is the version of the messages.
const ProtocolVersion = 3

// keepScratch is how large a buffer for writing is kept, in bytes: one large body must not hold its memory for good.
const keepScratch = 64 << 10

// Conn is a connection between two processes of the mesh. One goroutine may read and others may write at the same time.
type Conn struct {
	net.Conn
	raw    syscall.RawConn // nil: it is no socket
	r      *bufio.Reader
	dec    *gob.Decoder
	lr     io.LimitedReader // bounds one message's head
	number uint64           // of the last exchange; only its one reader uses it

	mu      sync.Mutex // guards what follows
	enc     *gob.Encoder
	scratch bytes.Buffer
}

// mostHead bounds the gob part of one message, in bytes.
const mostHead = 32 << 20

// NewConn wraps a connection.
func NewConn(c net.Conn) *Conn {
	k := &Conn{Conn: c}
	if socket, ok := c.(syscall.Conn); ok {
		k.raw, _ = socket.SyscallConn() // nil with an error
	}
	k.lr = io.LimitedReader{R: c, N: mostHead}
	k.r = bufio.NewReaderSize(&k.lr, 8<<10)
	k.dec = gob.NewDecoder(k.r)
	k.enc = gob.NewEncoder(&k.scratch)
	return k
}

// Send writes a message and the raw bytes behind it, at once. Its error says nothing of what has arrived.
func (c *Conn) Send(message any, raw []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scratch.Reset()
	if err := c.enc.Encode(message); err != nil {
		return oops.Code("encode").Wrap(err)
	}
	if len(raw) > keepScratch {
		if _, err := c.Conn.Write(c.scratch.Bytes()); err != nil {
			return err
		}
		_, err := c.Conn.Write(raw)
		return err
	}
	c.scratch.Write(raw)
	_, err := c.Conn.Write(c.scratch.Bytes())
	if c.scratch.Cap() > 4*keepScratch {
		c.scratch = bytes.Buffer{}
	}
	return err
}

// SendRaw writes raw bytes that belong to a message sent before.
func (c *Conn) SendRaw(raw []byte) error {
	_, err := c.Conn.Write(raw)
	return err
}

// chunk is how much of a long body has to pass within the patience, in bytes.
const chunk = 64 << 10

// SendLong writes raw bytes that belong to a message sent before. It fails once nothing of them
// passes for as long as the patience: how long all of them take is up to the link.
func (c *Conn) SendChunked(raw []byte, patience time.Duration) error {
	for part := range slices.Chunk(raw, chunk) {
		c.SetWriteDeadline(time.Now().Add(patience))
		if err := c.SendRaw(part); err != nil {
			return err
		}
	}
	return nil
}

// LongBody reads the raw bytes behind a message as SendLong writes them.
func (c *Conn) ReceiveChunked(n, most int64, patience time.Duration) ([]byte, error) {
	if n < 0 || n > most {
		return nil, oops.Code("body").Errorf("a body of %d bytes, at most %d are taken", n, most)
	}
	body := make([]byte, n)
	for part := range slices.Chunk(body, chunk) {
		c.lr.N = int64(len(part))
		c.SetReadDeadline(time.Now().Add(patience))
		if _, err := io.ReadFull(c.r, part); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// Receive reads the next message into a pointer.
func (c *Conn) Receive(message any) error {
	c.lr.N = mostHead
	return c.dec.Decode(message)
}

// Await waits until something has come that can be read, or the connection ends.
func (c *Conn) WaitReadable() error {
	c.lr.N = mostHead
	_, err := c.r.Peek(1)
	return err
}

// Body reads the raw bytes behind a message.
func (c *Conn) ReceiveBody(n int64, most int64) ([]byte, error) {
	if n < 0 || n > most {
		return nil, oops.Code("body").Errorf("a body of %d bytes, at most %d are taken", n, most)
	}
	if n == 0 {
		return nil, nil
	}
	c.lr.N = n
	body := make([]byte, n)
	_, err := io.ReadFull(c.r, body)
	return body, err
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sum is a checksum of a body. TCP's own is of 16 bits, which some damage passes; and bytes that come
// twice, or that are another message's, leave the count of them right.
func Checksum(body []byte) uint32 { return crc32.Checksum(body, castagnoli) }

// SummedBody reads the raw bytes behind a message and checks them.
func (c *Conn) ReceiveVerifiedBody(n, most int64, sum uint32) ([]byte, error) {
	body, err := c.ReceiveBody(n, most)
	if err == nil && Checksum(body) != sum {
		return nil, oops.Code("sum").Errorf("a body of %d bytes is not the one that was sent", n)
	}
	return body, err
}

// NextNumber numbers the next exchange on the connection. Danger: a reply that came late or twice
// would be taken for that to the next request; its number shows that it is not.
func (c *Conn) NextExchangeNumber() uint64 {
	c.number++
	return c.number
}

// Quiet says that the peer has neither closed the connection nor sent what is not yet received. What
// is no socket counts as quiet.
func (c *Conn) IsQuiet() bool { return c.raw == nil || tcp.RawQuiet(c.raw) }

// Buffered says how many bytes have come that nobody has read.
func (c *Conn) Buffered() int { return c.r.Buffered() }

// unheard is how long the kernel keeps trying to send what is not acknowledged: a machine without power says nothing.
const unheard = 3 * time.Second

// Dial opens a connection for a use. Sends on it fail once the other machine has been mute for a while.
func Dial(ctx context.Context, use, from, to string) (*Conn, error) {
	d := net.Dialer{KeepAlive: -1, Control: nil}
	raw, err := d.DialContext(ctx, "tcp4", to)
	if err != nil {
		return nil, err
	}
	SetUserTimeout(raw)
	c := NewConn(raw)
	if err := c.Send(Hello{Version: ProtocolVersion, Use: use, From: from}, nil); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Bound sets how long a connection's peer may be mute while there is something for it.
func SetUserTimeout(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := t.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unheard.Milliseconds()))
		})
	}
}
