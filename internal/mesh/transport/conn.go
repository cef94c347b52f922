// Package transport implements the framed connections between the processes of the mesh, over TCP.
//
// The Hello that opens a connection names one of its four uses:
//
//   - exchange: the agent beside a client (the sender) sends requests to the agent beside a backend
//     (the gate), one at a time. A Request is followed by its body, and a Reply by its body. The
//     connection is then kept for further requests.
//   - feed: an agent reports itself and its backend to a control-plane node, and receives the
//     configuration and the stations of all other agents.
//   - peer: control-plane nodes exchange consensus messages, each direction over its own
//     connection.
//   - stats: a process is queried for its statistics.
//
// Message heads are encoded with encoding/gob. Each head is written together with the raw bytes
// that follow it. A broken connection proves nothing about the messages sent on it. Whether a
// request ran is known only from a Verdict; without one, it may have run.
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

// Uses of a connection; see also UseStats. They are part of the protocol.
const (
	UseExchange = "exchange"
	UseFeed     = "feed"
	UsePeer     = "peer"
)

// Hello is the first message on a connection. The accepting process closes the connection if it
// does not support the version or the use.
type Hello struct {
	Version int
	Use     string
	From    string // control address of the process that opened the connection
}

// ProtocolVersion is the version of the messages in this package.
const ProtocolVersion = 3

// maxScratchBytes is the largest body that is copied into the write buffer of a connection. A
// larger one would occupy the buffer's memory for as long as the connection lives.
const maxScratchBytes = 64 << 10

// Conn is a connection between two processes of the mesh. One goroutine may read while others
// write.
type Conn struct {
	net.Conn
	rawConn        syscall.RawConn // nil if Conn is not a socket
	reader         *bufio.Reader
	decoder        *gob.Decoder
	limiter        io.LimitedReader // limits the bytes read for one message
	exchangeNumber uint64           // of the latest exchange; used by the reading goroutine only

	mu          sync.Mutex // guards the fields below
	encoder     *gob.Encoder
	writeBuffer bytes.Buffer
}

// maxHeadBytes limits the gob-encoded head of a message.
const maxHeadBytes = 32 << 20

// NewConn wraps a connection.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{Conn: c}
	if socket, ok := c.(syscall.Conn); ok {
		conn.rawConn, _ = socket.SyscallConn() // nil on error
	}
	conn.limiter = io.LimitedReader{R: c, N: maxHeadBytes}
	conn.reader = bufio.NewReaderSize(&conn.limiter, 8<<10)
	conn.decoder = gob.NewDecoder(conn.reader)
	conn.encoder = gob.NewEncoder(&conn.writeBuffer)
	return conn
}

// Send writes a message and the raw bytes that follow it. A nil error does not mean that they have
// arrived, and an error does not mean that they have not.
func (c *Conn) Send(message any, raw []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBuffer.Reset()
	if err := c.encoder.Encode(message); err != nil {
		return oops.Code("encode").Wrap(err)
	}
	if len(raw) > maxScratchBytes {
		if _, err := c.Conn.Write(c.writeBuffer.Bytes()); err != nil {
			return err
		}
		_, err := c.Conn.Write(raw)
		return err
	}
	c.writeBuffer.Write(raw)
	_, err := c.Conn.Write(c.writeBuffer.Bytes())
	if c.writeBuffer.Cap() > 4*maxScratchBytes {
		c.writeBuffer = bytes.Buffer{}
	}
	return err
}

// SendRaw writes raw bytes that belong to the previous message.
func (c *Conn) SendRaw(raw []byte) error {
	_, err := c.Conn.Write(raw)
	return err
}

// chunkBytes is the part of a long body that has to be transferred within the chunk timeout.
const chunkBytes = 64 << 10

// SendChunked writes raw bytes that belong to the previous message. It fails if a chunk is not
// written within the timeout; the total time is not limited, because it depends on the link.
func (c *Conn) SendChunked(raw []byte, chunkTimeout time.Duration) error {
	for part := range slices.Chunk(raw, chunkBytes) {
		c.SetWriteDeadline(time.Now().Add(chunkTimeout))
		if err := c.SendRaw(part); err != nil {
			return err
		}
	}
	return nil
}

// ReceiveChunked reads raw bytes that were written by SendChunked, with the same timeout per chunk.
func (c *Conn) ReceiveChunked(size, maxSize int64, chunkTimeout time.Duration) ([]byte, error) {
	if size < 0 || size > maxSize {
		return nil, oops.Code("body").Errorf("body length %d is outside the range of 0 to %d bytes", size, maxSize)
	}
	body := make([]byte, size)
	for part := range slices.Chunk(body, chunkBytes) {
		c.limiter.N = int64(len(part))
		c.SetReadDeadline(time.Now().Add(chunkTimeout))
		if _, err := io.ReadFull(c.reader, part); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// Receive decodes the next message into a pointer.
func (c *Conn) Receive(message any) error {
	c.limiter.N = maxHeadBytes
	return c.decoder.Decode(message)
}

// WaitReadable waits until there is something to read or the connection ends.
func (c *Conn) WaitReadable() error {
	c.limiter.N = maxHeadBytes
	_, err := c.reader.Peek(1)
	return err
}

// ReceiveBody reads the raw bytes that follow a message.
func (c *Conn) ReceiveBody(size int64, maxSize int64) ([]byte, error) {
	if size < 0 || size > maxSize {
		return nil, oops.Code("body").Errorf("body length %d is outside the range of 0 to %d bytes", size, maxSize)
	}
	if size == 0 {
		return nil, nil
	}
	c.limiter.N = size
	body := make([]byte, size)
	_, err := io.ReadFull(c.reader, body)
	return body, err
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the checksum of a body. The 16-bit checksum of TCP misses some damage, and a
// byte count does not detect duplicated bytes or those of another message.
func Checksum(body []byte) uint32 { return crc32.Checksum(body, castagnoli) }

// ReceiveVerifiedBody reads the raw bytes that follow a message and verifies their checksum.
func (c *Conn) ReceiveVerifiedBody(size, maxSize int64, sum uint32) ([]byte, error) {
	body, err := c.ReceiveBody(size, maxSize)
	if err == nil && Checksum(body) != sum {
		return nil, oops.Code("sum").Errorf("checksum mismatch in a body of %d bytes", size)
	}
	return body, err
}

// NextExchangeNumber returns the number of the next exchange on the connection. The number shows
// that a late or duplicated reply does not belong to the current request.
func (c *Conn) NextExchangeNumber() uint64 {
	c.exchangeNumber++
	return c.exchangeNumber
}

// IsQuiet reports whether the peer has neither closed the connection nor sent data that is still
// unread. It is true for a connection that is not a socket.
func (c *Conn) IsQuiet() bool { return c.rawConn == nil || tcp.RawQuiet(c.rawConn) }

// Buffered returns the number of bytes that were received but not yet read.
func (c *Conn) Buffered() int { return c.reader.Buffered() }

// unackedTimeout is how long the kernel retransmits unacknowledged data before the connection
// fails. A machine that loses power never closes its connections.
const unackedTimeout = 3 * time.Second

// Dial opens a connection for a use. Writes on it fail once the peer has not acknowledged data for
// unackedTimeout.
func Dial(ctx context.Context, use, from, to string) (*Conn, error) {
	dialer := net.Dialer{KeepAlive: -1, Control: nil}
	netConn, err := dialer.DialContext(ctx, "tcp4", to)
	if err != nil {
		return nil, err
	}
	SetUserTimeout(netConn)
	conn := NewConn(netConn)
	if err := conn.Send(Hello{Version: ProtocolVersion, Use: use, From: from}, nil); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// SetUserTimeout limits how long data on a TCP connection may stay unacknowledged.
func SetUserTimeout(c net.Conn) {
	tcpConn, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := tcpConn.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
	}
}
