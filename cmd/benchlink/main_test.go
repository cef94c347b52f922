package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
	"time"

	"example.org/micaline/internal/wire"
	"example.org/micaline/policy"
)

func frame(batch uint32, count int, records ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, batch)
	b = binary.BigEndian.AppendUint32(b, uint32(12+len(records)))
	b = append(b, make([]byte, 8)...)
	b = binary.BigEndian.AppendUint32(b, uint32(count))
	return append(b, records...)
}

func create(settings string) []byte {
	b := append([]byte{10, 0, 0, 0, 1}, make([]byte, 8)...)
	return append(binary.BigEndian.AppendUint32(b, uint32(len(settings))), settings...)
}

func TestAnswersBatchesUntilTheEnd(t *testing.T) {
	var out bytes.Buffer
	in := bytes.NewReader(append(frame(1, 0), frame(2, 1, 60, 0, 0, 0, 9, 0, 0, 0, 1)...))
	if err := run(in, &out); err != nil {
		t.Fatal(err)
	}
	if want := []byte{0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 0}; !bytes.Equal(out.Bytes(), want) {
		t.Errorf("got %x", out.Bytes())
	}
}

func TestMalformedLeavesNothingPartial(t *testing.T) {
	good := `{"categories":[{"aim":300,"deadline":900,"effect":"pure"}],"replicasOfMe":1,"limits":{"maxAttempts":2},` +
		`"rules":{"coldFrom":0.5,"overloadFactor":2}}`
	ask := append([]byte{30, 0, 0, 0, 1, 0, 0, 0, 5, 0, 0, 0x40, 0x6e}, make([]byte, 25)...)
	begin := append(create(good), ask...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(frame(4, 2, begin...)), &out); err != nil || out.Len() <= 8 {
		t.Fatalf("the good batch: %x, error %v", out.Bytes(), err)
	}
	for what, data := range map[string][]byte{
		"batch 4, offset":   frame(4, 3, append(begin, 99)...),
		"MaxAttempts":       frame(4, 1, create(strings.Replace(good, ":2}", ":0}", 1))...),
		"settings":          frame(4, 1, create("nonsense")...),
		"truncated":         frame(4, 3, begin...),
		"setting Classes[0": frame(4, 1, create(strings.Replace(good, "300", "-3", 1))...),
	} {
		out.Reset()
		err := run(bytes.NewReader(data), &out)
		if err == nil || !strings.Contains(err.Error(), what) || out.Len() != 0 {
			t.Errorf("%s: wrote %d bytes, error %v", what, out.Len(), err)
		}
	}
}

// A panic in the module becomes text for the wire's fault action.
func TestPanicBecomesAFault(t *testing.T) {
	var h host
	rec := wire.Record{Kind: wire.Deliver, Event: policy.Event{Kind: policy.EventClientGone}}
	if fault := h.deliver(nil, time.Second, &rec); !strings.HasPrefix(fault, "panic: ") {
		t.Errorf("fault %q", fault)
	}
}
