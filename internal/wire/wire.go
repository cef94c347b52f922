// Package wire translates between the bench's frames and the module's events and actions. It decides nothing.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"example.org/micaline/internal/settings"
	"example.org/micaline/policy"
)

// The codes of events.
const (
	evCreate   = 10
	evView     = 20
	evAsk      = 30
	evBegun    = 40
	evReply    = 50
	evHangup   = 60
	evTimer    = 70
	evCheck    = 80
	evDatagram = 90
	evDetach   = 100
	evManifest = 110
	entrySize  = 21
	headerSize = 20
	clockSize  = 12 // of the header: the part that the length counts
	manifests  = 16
	hintBit    = 1
	retryBit   = 2
	everyPeer  = math.MaxUint32
	maxText    = 400 // a log line longer than this is cut
)

// The codes of actions.
const (
	acRefuse   = 10
	acLog      = 20
	acFault    = 30
	acFollow   = 40
	acPublish  = 50
	acUndoSend = 60
	acPassOn   = 70
	acFail     = 90
	acAlarm    = 100
	acProbe    = 110
)

var outcomes = map[uint8]policy.Outcome{
	10: policy.OK, 20: policy.Error, 30: policy.Full, 40: policy.Timeout,
	50: policy.ConnectFailed, 60: policy.Reset, 70: policy.Cancelled, 80: policy.NotSent,
}

// Kind tells what a Record asks of the adapter.
type Kind uint8

// The kinds of records.
const (
	Create  Kind = iota // start an instance with Seed and Settings
	Detach              // drop the instance
	Deliver             // hand Event to the instance
)

// Record is one event for one instance.
type Record struct {
	Kind     Kind
	Instance uint32
	Seed     uint64
	Settings policy.Settings
	Event    policy.Event
}

// Decoder reads batches from a stream.
type Decoder struct {
	in     io.Reader
	body   bytes.Buffer
	batch  uint32
	now    time.Duration
	buf    []byte // the rest of the batch
	size   int    // of the body as read
	left   uint32 // records still to come
	err    error
	lists  [manifests][]policy.ServerEntry
	fields map[uint32][]string // instance -> names in its load reports
}

// NewDecoder returns a decoder that reads from in.
func NewDecoder(in io.Reader) *Decoder {
	return &Decoder{in: in, fields: map[uint32][]string{}}
}

// Batch reads the next frame and returns its number and clock. It returns io.EOF at a clean end of input.
func (d *Decoder) Batch() (uint32, time.Duration, error) {
	if d.left > 0 || len(d.buf) > 0 {
		return 0, 0, d.fail("records left unread")
	}
	var head [headerSize]byte
	if n, err := io.ReadFull(d.in, head[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return 0, 0, io.EOF
		}
		d.batch++
		return 0, 0, d.fail("truncated header")
	}
	d.batch = binary.BigEndian.Uint32(head[0:])
	length := binary.BigEndian.Uint32(head[4:])
	clock := math.Float64frombits(binary.BigEndian.Uint64(head[8:]))
	d.left = binary.BigEndian.Uint32(head[16:])
	d.size, d.buf = 0, nil
	if length < clockSize {
		return 0, 0, d.fail("length is shorter than the header")
	}
	if math.IsNaN(clock) || math.Abs(clock) > 1e12 || settings.Millis(clock) < d.now {
		return 0, 0, d.fail("clock is no time or runs backwards")
	}
	d.now = settings.Millis(clock)
	d.body.Reset()
	// The buffer grows with what arrives, never by the length that the frame claims.
	if _, err := io.CopyN(&d.body, d.in, int64(length-clockSize)); err != nil {
		return 0, 0, d.fail("truncated batch")
	}
	d.buf, d.size = d.body.Bytes(), d.body.Len()
	return d.batch, d.now, nil
}

// Next returns the next record of the batch, or io.EOF behind the last one.
func (d *Decoder) Next() (Record, error) {
	for d.left > 0 {
		d.left--
		rec, skip := d.record()
		if d.err != nil {
			return Record{}, d.err
		}
		if !skip {
			return rec, nil
		}
	}
	if len(d.buf) > 0 {
		return Record{}, d.fail("bytes behind the last record")
	}
	return Record{}, io.EOF
}

// record reads one record; skip says that it was none of an instance.
func (d *Decoder) record() (rec Record, skip bool) {
	code := d.u8()
	if code == evManifest {
		d.manifest()
		return rec, true
	}
	rec.Kind, rec.Instance = Deliver, d.u32()
	ev := &rec.Event
	switch code {
	case evCreate:
		rec.Kind, rec.Seed = Create, d.u64()
		text := d.bytes(d.u32())
		if d.err != nil {
			return rec, false
		}
		parsed, err := settings.Parse(text)
		if err != nil {
			d.fail(err.Error())
		}
		rec.Settings, d.fields[rec.Instance] = parsed.Module, parsed.ReportFields
	case evDetach:
		rec.Kind = Detach
	case evView:
		ev.Kind = policy.EventList
		d.u64()
		mode, list := d.u8(), d.u8()
		ev.ListMode = policy.ListMode(mode)
		if mode > uint8(policy.ListFailed) {
			d.fail("unknown list mode")
		} else if ev.ListMode != policy.ListFailed {
			if list >= manifests {
				d.fail("no such list number")
			} else {
				ev.Servers = d.lists[list]
			}
		}
	case evAsk:
		ev.Kind, ev.Request, ev.Tenant = policy.EventRequest, policy.RequestID(d.u32()), int(d.u16())
		ev.TimeLeft = d.time()
		bits := d.u8()
		d.u64()
		d.time()
		ev.Retry = bits&retryBit != 0
		ev.Class = int(d.u16())
	case evBegun:
		ev.Kind, ev.Request = policy.EventStreamStarted, policy.RequestID(d.u32())
		_, ev.Attempt, ev.Server = d.time(), int(d.u8()), policy.ServerID(d.u32())
	case evReply:
		ev.Kind, ev.Request = policy.EventOutcome, policy.RequestID(d.u32())
		ev.Attempt, ev.Server, ev.Outcome = int(d.u8()), policy.ServerID(d.u32()), d.outcome()
		_, ev.Final = d.time(), d.u8() != 0
		ev.Load = d.load(rec.Instance)
	case evHangup:
		ev.Kind, ev.Request = policy.EventClientGone, policy.RequestID(d.u32())
	case evTimer:
		ev.Kind, ev.Token = policy.EventTimer, d.u64()
	case evCheck:
		ev.Kind, ev.Server = policy.EventProbeResult, policy.ServerID(d.u32())
		ev.Outcome, _ = d.outcome(), d.time()
		ev.Load = d.load(rec.Instance)
	case evDatagram:
		ev.Kind = policy.EventPeerMessage
		d.u32() // a message says itself who it is from
		ev.Data = d.bytes(uint32(d.u16()))
	default:
		d.fail(fmt.Sprintf("unknown event code %d", code))
	}
	return rec, false
}

func (d *Decoder) manifest() {
	ref, n := d.u8(), d.u32()
	if d.err == nil && ref >= manifests {
		d.fail("no such list number")
	}
	if d.err == nil && uint64(n)*entrySize > uint64(len(d.buf)) {
		d.fail("more entries than the frame holds")
	}
	if d.err != nil {
		return
	}
	list := make([]policy.ServerEntry, n)
	for i := range list {
		e := &list[i]
		e.ID, e.Zone, e.Kind, e.Cell = policy.ServerID(d.u32()), int(d.u8()), int(d.u8()), int(d.u16())
		e.Key = uint32(e.ID) // the same at each instance
		state := d.u8()
		if state > uint8(policy.Draining) {
			d.fail("unknown server state")
		}
		e.State = policy.ServerState(state)
		e.Weight, e.Start = d.f32(), d.time()
	}
	d.lists[ref] = list
}

func (d *Decoder) load(instance uint32) (l policy.Load) {
	n := int(d.u8())
	l = settings.NoLoad()
	fields := d.fields[instance]
	for i := range n {
		if v := d.f32(); i < len(fields) {
			settings.AddLoad(&l, fields[i], v)
		}
	}
	return l
}

func (d *Decoder) outcome() policy.Outcome {
	code := d.u8()
	o, ok := outcomes[code]
	if !ok {
		d.fail(fmt.Sprintf("unknown outcome %d", code))
	}
	return o
}

// fail notes the first thing wrong and where it stands in the batch.
func (d *Decoder) fail(what string) error {
	if d.err == nil {
		d.err = fmt.Errorf("batch %d, offset %d: %s", d.batch, headerSize+d.size-len(d.buf), what)
	}
	return d.err
}

// bytes takes the next n bytes of the batch; they live until the next batch is read.
func (d *Decoder) bytes(n uint32) []byte {
	if d.err != nil || uint64(n) > uint64(len(d.buf)) {
		d.fail("truncated record")
		return nil
	}
	b := d.buf[:n]
	d.buf = d.buf[n:]
	return b
}

func (d *Decoder) u8() uint8 {
	if b := d.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *Decoder) u16() uint16 {
	if b := d.bytes(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (d *Decoder) u32() uint32 {
	if b := d.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (d *Decoder) u64() uint64 {
	if b := d.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (d *Decoder) f32() float64        { return float64(math.Float32frombits(d.u32())) }
func (d *Decoder) time() time.Duration { return settings.Millis(math.Float64frombits(d.u64())) }

// Encoder builds one reply frame.
type Encoder struct{ buf []byte }

// Begin starts the reply to a batch.
func (e *Encoder) Begin(batch uint32) {
	e.buf = append(e.buf[:0], 0, 0, 0, 0, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(e.buf, batch)
}

// Finish returns the whole frame, which lives until the next Begin.
func (e *Encoder) Finish() []byte {
	binary.BigEndian.PutUint32(e.buf[4:], uint32(len(e.buf)-8))
	return e.buf
}

// Fault writes that the module of an instance has failed.
func (e *Encoder) Fault(instance uint32, text string) {
	e.head(acFault, instance)
	e.text([]byte(text), maxText)
}

// Action writes one action of an instance.
func (e *Encoder) Action(instance uint32, a *policy.Action) {
	switch a.Kind {
	case policy.ActSend:
		e.head(acPassOn, instance)
		e.u32(uint32(a.Request))
		e.u32(uint32(a.Server))
		e.time(a.Wait)
	case policy.ActRefuse:
		e.head(acRefuse, instance)
		e.u32(uint32(a.Request))
		e.time(a.Wait)
	case policy.ActFail:
		e.head(acFail, instance)
		e.u32(uint32(a.Request))
	case policy.ActCancel:
		e.head(acUndoSend, instance)
		e.u32(uint32(a.Request))
		e.buf = append(e.buf, uint8(a.Attempt))
	case policy.ActTimer:
		e.head(acAlarm, instance)
		e.time(a.Wait)
		e.buf = binary.BigEndian.AppendUint64(e.buf, a.Token)
	case policy.ActProbe:
		e.head(acProbe, instance)
		e.u32(uint32(a.Server))
	case policy.ActSubscribe:
		e.head(acFollow, instance)
		e.buf = append(e.buf, 1)
	case policy.ActBroadcast:
		e.head(acPublish, instance)
		e.u32(everyPeer)
		e.text(a.Data, len(a.Data))
	case policy.ActLog:
		e.head(acLog, instance)
		e.text([]byte(a.Text), maxText)
	}
}

func (e *Encoder) head(code uint8, instance uint32) {
	e.buf = append(e.buf, code)
	e.u32(instance)
}

func (e *Encoder) u32(v uint32) { e.buf = binary.BigEndian.AppendUint32(e.buf, v) }

func (e *Encoder) time(d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	e.buf = binary.BigEndian.AppendUint64(e.buf, math.Float64bits(ms))
}

func (e *Encoder) text(b []byte, most int) {
	b = b[:min(len(b), most)]
	e.buf = binary.BigEndian.AppendUint16(e.buf, uint16(len(b)))
	e.buf = append(e.buf, b...)
}
