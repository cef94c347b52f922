package relay

import (
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const patience = 5 * time.Second

// echo answers every connection with what it gets.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func link(t *testing.T) *Link {
	l, err := Listen("127.0.0.1:0", echo(t), 1)
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

func dial(t *testing.T, l *Link) net.Conn {
	c, err := net.DialTimeout("tcp4", l.Address(), patience)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func read(c net.Conn, n int) (string, error) {
	b := make([]byte, n)
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

func requireSilent(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := read(c, 1)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestFaultsAtTheirByte(t *testing.T) {
	for name, f := range map[string]Fault{"truncate": {Action: Truncate, After: 3}, "reset": {Action: Reset, After: 3}} {
		t.Run(name, func(t *testing.T) {
			l := link(t)
			require.True(t, l.Next(ToClient, f))
			c := dial(t, l)
			send(t, c, "abcdef")
			got, err := read(c, 6)
			require.Error(t, err)
			require.True(t, strings.HasPrefix("abc", got), got) // a reset may overtake what was passed
			if f.Action == Truncate {
				require.Equal(t, "abc", got)
			}
			c = dial(t, l) // which is not disturbed
			send(t, c, "abcdef")
			got, err = read(c, 6)
			require.NoError(t, err)
			require.Equal(t, "abcdef", got)
			_, faults := l.Counts()
			require.Equal(t, 1, faults)
		})
	}
}

func TestDuplicate(t *testing.T) {
	l := link(t)
	l.Next(ToServer, Fault{Action: Duplicate})
	c := dial(t, l)
	send(t, c, "ab")
	got, err := read(c, 4)
	require.NoError(t, err)
	require.Equal(t, "abab", got)
}

// A cut says nothing and loses nothing; a connection that begins in it reaches the server after it.
func TestCutHoldsUp(t *testing.T) {
	for _, d := range []Direction{ToServer, ToClient, Both} {
		l := link(t)
		before := dial(t, l)
		send(t, before, "a")
		_, err := read(before, 1)
		require.NoError(t, err)
		l.Cut(d)
		during := dial(t, l)
		send(t, before, "b")
		send(t, during, "c")
		requireSilent(t, before)
		requireSilent(t, during)
		if opened, _ := l.Counts(); d != ToClient {
			require.Equal(t, 1, opened, "the server heard of a connection that is cut off from it")
		}
		l.Heal()
		for c, want := range map[net.Conn]string{before: "b", during: "c"} {
			c.SetDeadline(time.Now().Add(patience))
			got, err := read(c, 1)
			require.NoError(t, err)
			require.Equal(t, want, got)
		}
	}
}

func TestRefuseAndReset(t *testing.T) {
	l := link(t)
	c := dial(t, l)
	send(t, c, "a")
	_, err := read(c, 1)
	require.NoError(t, err)
	l.Reset()
	_, err = read(c, 1)
	require.Error(t, err)
	l.Refuse(true)
	if c, err := net.DialTimeout("tcp4", l.Address(), patience); err == nil { // reset once it is accepted
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		_, err = read(c, 1)
		require.Error(t, err)
	}
}

// A reset while connections come up waits for none of them, nor they for it.
func TestResetWhileConnectionsComeUp(t *testing.T) {
	l, err := Listen("127.0.0.1:0", echo(t), 1)
	require.NoError(t, err)
	over := make(chan struct{})
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for {
				select {
				case <-over:
					return
				default:
				}
				if c, err := net.DialTimeout("tcp4", l.Address(), patience); err == nil {
					abort(c)
				}
			}
		})
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for opened := 0; opened < 500; opened, _ = l.Counts() {
			l.Reset()
		}
	}()
	select {
	case <-finished:
	case <-time.After(4 * patience):
		t.Error("the resets don't end")
	}
	close(over)
	if !t.Failed() { // a link that hangs can't be closed either
		clients.Wait()
		require.NoError(t, l.Close())
	}
}
