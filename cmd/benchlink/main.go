// Command benchlink hosts instances of the decision module behind the bench's wire on stdin and stdout.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"example.org/micaline/internal/peers"
	"example.org/micaline/internal/wire"
	"example.org/micaline/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. A reply is written whole or not at all.
func run(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(bufio.NewReaderSize(in, 1<<20))
	h := host{instances: map[uint32]peers.Decider{}}
	for {
		batch, now, err := dec.Batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		h.enc.Begin(batch)
		for {
			rec, err := dec.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return err
			}
			if err := h.handle(now, &rec); err != nil {
				return fmt.Errorf("batch %d: %w", batch, err)
			}
		}
		if _, err := out.Write(h.enc.Finish()); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", batch, err)
		}
	}
}

// host keeps the instances of this process apart: each has its own Balancer and nothing else.
type host struct {
	instances map[uint32]peers.Decider
	enc       wire.Encoder
	actions   []policy.Action
}

func (h *host) handle(now time.Duration, rec *wire.Record) error {
	switch rec.Kind {
	case wire.Create:
		b, err := peers.NewDecider(rec.Settings, rec.Seed)
		if err != nil {
			return fmt.Errorf("instance %d: %w", rec.Instance, err)
		}
		h.instances[rec.Instance] = b
	case wire.Detach:
		delete(h.instances, rec.Instance)
	case wire.Deliver:
		b := h.instances[rec.Instance]
		if b == nil {
			return nil
		}
		if fault := h.deliver(b, now, rec); fault != "" {
			h.enc.Fault(rec.Instance, fault)
		}
	}
	return nil
}

// deliver hands one event to the module. A panic comes back as text, so that it ends as the wire's own fault.
func (h *host) deliver(b peers.Decider, now time.Duration, rec *wire.Record) (fault string) {
	defer func() {
		if p := recover(); p != nil {
			fault = fmt.Sprint("panic: ", p)
		}
	}()
	h.actions = b.Handle(now, rec.Event, h.actions[:0])
	for i := range h.actions {
		h.enc.Action(rec.Instance, &h.actions[i])
	}
	return ""
}
