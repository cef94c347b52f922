package network

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// connect returns both ends of a connection.
func connect(t *testing.T, n *Network) (near, far net.Conn, d *Dialer) {
	t.Helper()
	l, err := n.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	d = n.From("x")
	near, err = d.Dial(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far = <-accepted
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far, d
}

// everywhere runs a test in memory, over sockets, and over sockets that are spliced.
func everywhere(t *testing.T, test func(t *testing.T, n *Network)) {
	t.Run("memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, NewMemory(1)) })
	})
	t.Run("sockets", func(t *testing.T) { test(t, NewLoopback(1, false)) })
	t.Run("spliced", func(t *testing.T) { test(t, NewLoopback(1, true)) })
}

// What is written arrives whole and in order, both ways, however it is cut, and the end behind it.
func TestCarriesBytes(t *testing.T) {
	everywhere(t, func(t *testing.T, n *Network) {
		near, far, _ := connect(t, n)
		text := make([]byte, 3*window)
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range text {
			text[i] = byte(rng.Uint32())
		}
		for _, ends := range [][2]net.Conn{{near, far}, {far, near}} {
			go func() {
				for rest := text; len(rest) > 0; {
					k := min(len(rest), 1+rng.IntN(100_000))
					if _, err := ends[0].Write(rest[:k]); err != nil {
						t.Error(err)
						return
					}
					rest = rest[k:]
				}
				ends[0].(interface{ CloseWrite() error }).CloseWrite()
			}()
			if got, err := io.ReadAll(ends[1]); err != nil || !bytes.Equal(got, text) {
				t.Fatalf("%d of %d bytes came, error %v", len(got), len(text), err)
			}
		}
	})
}

// Reads and writes that would wait end at their deadlines, and the connection goes on.
func TestDeadlines(t *testing.T) {
	everywhere(t, func(t *testing.T, n *Network) {
		near, far, _ := connect(t, n)
		near.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("reading: %v", err)
		}
		near.SetReadDeadline(time.Time{})
		go far.Write([]byte("x"))
		if _, err := io.ReadFull(near, make([]byte, 1)); err != nil {
			t.Errorf("reading afterwards: %v", err)
		}
		near.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		var err error
		for range 100 { // more than any buffer holds
			if _, err = near.Write(make([]byte, window)); err != nil {
				break
			}
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("writing to who does not read: %v", err)
		}
	})
}

// An idle connection is quiet until the other side says something, ends, or dies.
func TestQuiet(t *testing.T) {
	for what, change := range map[string]func(net.Conn){
		"a word":  func(c net.Conn) { c.Write([]byte("x")) },
		"an end":  func(c net.Conn) { c.Close() },
		"a reset": Reset,
	} {
		t.Run(what, func(t *testing.T) {
			everywhere(t, func(t *testing.T, n *Network) {
				near, far, d := connect(t, n)
				if !d.Quiet(near) {
					t.Error("not quiet while nothing has come")
				}
				change(far)
				for begun := time.Now(); d.Quiet(near); time.Sleep(time.Millisecond) {
					if time.Since(begun) > 20*time.Second {
						t.Fatal("still quiet")
					}
				}
			})
		})
	}
}

// A process that dies resets its connections and opens no more; others' stay.
func TestKill(t *testing.T) {
	everywhere(t, func(t *testing.T, n *Network) {
		_, far, d := connect(t, n)
		other, _, _ := connect(t, n)
		d.Kill()
		if _, err := far.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the other side reads %v", err)
		}
		l, err := n.Listen()
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if _, err := d.Dial(t.Context(), l.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dialing from the grave: %v", err)
		}
		if _, err := other.Write([]byte("x")); err != nil {
			t.Errorf("another's connection: %v", err)
		}
	})
}

func TestRefusedAndTaken(t *testing.T) {
	everywhere(t, func(t *testing.T, n *Network) {
		addr, err := n.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := n.From("x").Dial(t.Context(), addr); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("nobody listens: %v", err)
		}
		l, err := n.ListenAt(addr)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if _, err := n.ListenAt(addr); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("somebody listens already: %v", err)
		}
	})
}

// troubled runs a test of a network's trouble where trouble is to be had.
func troubled(t *testing.T, test func(t *testing.T, n *Network)) {
	t.Run("memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, NewMemory(1)) })
	})
	t.Run("spliced", func(t *testing.T) { test(t, NewLoopback(1, true)) })
}

func all(change func(*Conditions)) Rule {
	return Rule{Match: func(string, string) bool { return true }, Change: change}
}

// A connection that breaks within a write brings so many bytes, none more, and the writer knows whether it was all.
func TestBreaks(t *testing.T) {
	for _, up := range []bool{true, false} {
		for _, half := range []bool{true, false} {
			for after := range 6 {
				troubled(t, func(t *testing.T, n *Network) {
					near, far, _ := connect(t, n)
					n.Apply(all(func(c *Conditions) {
						c.Break = func(isUp bool, size int) (Ending, bool) { return Ending{after, half}, isUp == up && size == 5 }
					}))
					from, to := near, far
					if !up {
						from, to = far, near
					}
					// Over sockets the near end is where the trouble is: what the far end writes breaks beyond it.
					k, err := from.Write([]byte("hello"))
					if _, sockets := from.(*net.TCPConn); !sockets && !half && (k != after || (err == nil) != (after == 5)) {
						t.Errorf("breaks after %d: wrote %d, error %v", after, k, err)
					}
					got, err := io.ReadAll(to)
					if string(got) != "hello"[:len(got)] || len(got) > after || half && len(got) != after {
						t.Errorf("breaks after %d: read %q", after, got)
					}
					if half != (err == nil) {
						t.Errorf("breaks after %d, half %v: read ends with %v", after, half, err)
					}
				})
			}
		}
	}
}

// What is cut off is silent: nothing crosses, nobody is told, new connections never come up, and when it is back all
// arrives that was sent.
func TestCut(t *testing.T) {
	troubled(t, func(t *testing.T, n *Network) {
		near, far, d := connect(t, n)
		undo := n.Apply(all(func(c *Conditions) { c.Cut = true }))
		if _, err := near.Write([]byte("hello")); err != nil {
			t.Errorf("writing: %v", err)
		}
		far.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if k, err := far.Read(make([]byte, 9)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read %d bytes, error %v", k, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		if _, err := d.Dial(ctx, far.LocalAddr().String()); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("dialing: %v", err)
		}
		undo()
		far.SetReadDeadline(time.Time{})
		got := make([]byte, 5)
		if _, err := io.ReadFull(far, got); err != nil || string(got) != "hello" {
			t.Errorf("afterwards: %q, error %v", got, err)
		}
	})
}

// Delay, jitter and trickle take the time that they say; order stays.
func TestTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemory(1)
		n.Apply(all(func(c *Conditions) { c.Delay, c.Jitter = 10*time.Millisecond, 5*time.Millisecond }))
		begun := time.Now()
		near, far, _ := connect(t, n)
		if took := time.Since(begun); took != 20*time.Millisecond {
			t.Errorf("connecting took %v", took)
		}
		for i := range 100 {
			near.Write([]byte{byte(i)})
		}
		begun = time.Now()
		got := make([]byte, 100)
		io.ReadFull(far, got)
		if took := time.Since(begun); took < 10*time.Millisecond || took > 15*time.Millisecond {
			t.Errorf("100 writes took %v", took)
		}
		for i, b := range got {
			if int(b) != i {
				t.Fatalf("byte %d came as number %d", b, i)
			}
		}
		n.Apply(all(func(c *Conditions) { c.Trickle = time.Millisecond }))
		near.Write(make([]byte, 50))
		begun = time.Now()
		for i := range 50 {
			if k, err := far.Read(got); k != 1 || err != nil {
				t.Fatalf("read %d: %d bytes, error %v", i, k, err)
			}
		}
		if took := time.Since(begun); took < 59*time.Millisecond || took > 70*time.Millisecond {
			t.Errorf("50 bytes trickled for %v", took)
		}
	})
}

// One direction stalls and the other goes on.
func TestStall(t *testing.T) {
	troubled(t, func(t *testing.T, n *Network) {
		near, far, _ := connect(t, n)
		undo := n.Apply(all(func(c *Conditions) { c.StallUp = true }))
		near.Write([]byte("up"))
		far.Write([]byte("down"))
		got := make([]byte, 4)
		if _, err := io.ReadFull(near, got); err != nil {
			t.Error(err)
		}
		far.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := far.Read(got); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("what is stalled is read, error %v", err)
		}
		far.SetReadDeadline(time.Time{})
		undo()
		if _, err := io.ReadFull(far, got[:2]); err != nil || string(got[:2]) != "up" {
			t.Errorf("afterwards %q, error %v", got[:2], err)
		}
	})
}

// A write to who has just closed is taken and lost; the reset shows afterwards, as with a socket.
func TestWriteBehindAClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far, _ := connect(t, NewMemory(1))
		far.Close()
		if _, err := near.Write([]byte("hello")); err != nil {
			t.Errorf("the first write: %v", err)
		}
		if _, err := near.Write([]byte("hello")); err == nil {
			t.Error("the write behind the reset succeeds")
		}
	})
}
