package standin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"example.org/micaline/internal/rules"
)

// clientConn is a connection to the agent. It carries one request at a time.
type clientConn struct {
	net.Conn
	door int
	br   *bufio.Reader
	call string // the last one on it
}

// at is the agent that is asked now.
func (c *Clients) at() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.door > 0 && time.Since(c.away) >= homeAgain {
		c.door = 0
	}
	return c.door
}

// leave has the clients turn to the next agent, if they know one.
func (c *Clients) leave(door int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.door == door && len(c.cfg.Doors) > 1 {
		c.door, c.away = (door+1)%len(c.cfg.Doors), time.Now()
	}
}

// conn returns an idle connection to an agent, or a new one.
func (c *Clients) conn(door int, by time.Time) (k *clientConn, kept bool, err error) {
	for {
		c.mu.Lock()
		k, alone := (*clientConn)(nil), c.alone
		if n := len(c.idle); n > 0 {
			k, c.idle = c.idle[n-1], c.idle[:n-1]
		}
		c.mu.Unlock()
		if k == nil {
			if alone {
				return nil, false, errAlone
			}
			ctx, cancel := context.WithDeadline(context.Background(), by)
			defer cancel()
			raw, err := c.net.Dial(ctx, c.cfg.Doors[door].Addr)
			if err != nil {
				return nil, false, err
			}
			return &clientConn{Conn: raw, door: door, br: bufio.NewReader(raw)}, false, nil
		}
		if k.door == door && k.br.Buffered() == 0 && c.net.Quiet(k.Conn) {
			return k, true, nil
		}
		c.discard(k)
	}
}

// discard closes a connection. What has come on it behind its last answer is another answer to the same request.
func (c *Clients) discard(k *clientConn) {
	if k.br.Buffered() > 0 || !c.net.Quiet(k.Conn) {
		k.SetReadDeadline(time.Now().Add(time.Millisecond))
		if resp, err := http.ReadResponse(k.br, nil); err == nil {
			c.log.Add(rules.Record{Kind: rules.Answered, Agent: c.cfg.Doors[k.door].Agent, Call: k.call, Status: resp.StatusCode})
		}
	}
	k.Close()
}

func (c *Clients) keep(k *clientConn) {
	c.mu.Lock()
	c.idle = append(c.idle, k)
	c.mu.Unlock()
}

func (k *clientConn) exchange(text string) (resp *http.Response, body string, err error) {
	if n, err := io.WriteString(k.Conn, text); err != nil || n < len(text) {
		return nil, "", errNotTaken
	}
	resp, err = http.ReadResponse(k.br, nil)
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, mostBody))
	if err != nil {
		return resp, "", err
	}
	body, whole := unfill(b)
	if !whole {
		body = "not as it was made: " + body // which no backend has said
	}
	return resp, body, nil
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// meaning reads an answer's status.
func meaning(resp *http.Response) (how ending, advice time.Duration) {
	switch resp.StatusCode {
	case http.StatusOK:
		return served, 0
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
			advice = time.Duration(s * float64(time.Second))
		}
		return refused, advice
	}
	return failed, 0
}
