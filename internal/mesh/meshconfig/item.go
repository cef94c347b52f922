package meshconfig

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"example.org/micaline/internal/mesh/bootstrap"
)

// The kinds of items.
const (
	routes    = "routes"
	services  = "services"
	limits    = "limits"
	customers = "customers"
)

// Kind tells whether requests of a route may be retried.
type Kind uint8

const (
	Safe   Kind = iota + 1 // idempotent: may run more than once
	Unsafe                 // not idempotent: runs at most once for each attempt of a client
	Upload                 // like Unsafe, with a large body
)

var kindsByName = map[string]Kind{"safe": Safe, "unsafe": Unsafe, "upload": Upload}

func (k Kind) String() string { return [...]string{"", "safe", "unsafe", "upload"}[k] }

// Service is the operator's configuration of a service. Numbers that are not given are 0.
type Service struct {
	Name       string
	Version    uint64
	HealthPath string
	MaxConns   int // maximum connections to one backend from all callers together
	Warmup     time.Duration
	WarmupRate float64 // requests per second that a cold backend can handle
}

// Limits are the limits for clients: sizes of a request, time to send its header, and idle time.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderWait, Idle       time.Duration
}

// defaultLimits apply to limits that the item does not give. They are generous, because the
// mesh's clients respect the operator's limits, and refusing a valid request costs more than serving
// a large one.
var defaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderWait: 3 * time.Second, Idle: 15 * time.Second}

const (
	defaultAttempts     = 2           // first attempt and one retry, if a route gives no number
	maxTargetTimeExcess = time.Minute // a target time that exceeds give_up by this much is refused
	maxExactInteger     = 1 << 52     // numbers are clamped to this; float64 is exact for integers below
)

// item is an item, or the tombstone of a dropped one. It is immutable.
type item struct {
	key
	version     uint64
	versionText string // spelling of the version as sent
	raw         []byte // complete JSON of the item as sent; nil for a tombstone
	dropNumber  uint64 // for a tombstone: Config.dropCount when it was made

	route    *Route
	service  *Service
	limits   *Limits
	customer *Customer
}

func (i *item) dropped() bool { return i.raw == nil }

var unmarshalOptions = protojson.UnmarshalOptions{DiscardUnknown: true}

// unmarshalProto unmarshals JSON into a protobuf message. Error messages of protojson begin with a
// package prefix and contain spaces that differ between builds. Both are normalized, because the
// messages are shown to people and compared by tests.
func unmarshalProto(field string, data []byte, target proto.Message) error {
	err := unmarshalOptions.Unmarshal(data, target)
	if err == nil {
		return nil
	}
	message := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	return invalid(field, "can't be read, send it whole and as described: %s", strings.TrimPrefix(message, "proto: "))
}

// parseMetadata parses name and version, which every item has.
func parseMetadata(kind string, m *Metadata, field string) (*item, error) {
	i := &item{key: key{kind: kind, name: m.GetName()}, versionText: m.GetVersion()}
	switch {
	case kind == limits:
		i.name = "" // there is only one limits item, so its name is ignored
	case i.name == "":
		return nil, invalid(field+".name", "is missing: give the item its name")
	}
	var err error
	if i.version, err = strconv.ParseUint(i.versionText, 16, 64); err != nil {
		return nil, invalid(i.key.String()+" version", "%q is no version: write eight hexadecimal digits", i.versionText)
	}
	return i, nil
}

// newItem parses an item to set, and validates what does not depend on other items.
func newItem(head *ItemDocument, raw []byte, field string) (*item, error) {
	switch head.ItemKind {
	case routes, services, limits, customers:
	default:
		return nil, invalid(field+".item_kind", "%q is none of routes, services, limits, customers", head.ItemKind)
	}
	i, err := parseMetadata(head.ItemKind, head.Metadata, field+".metadata")
	if err != nil {
		return nil, err
	}
	i.raw = raw
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(raw, &parts); err != nil {
		return nil, invalid(field, "can't be read: %v", err)
	}
	body, present := parts["body"]
	if !present {
		body = []byte("{}")
	}
	switch i.kind {
	case routes:
		err = i.readRoute(body)
	case services:
		err = i.readService(body)
	case limits:
		err = i.readLimits(body)
	case customers:
		err = i.readCustomer(body)
	}
	if err != nil {
		return nil, err
	}
	return i, nil
}

// fieldReader converts the fields of one item and keeps the first error.
type fieldReader struct {
	item *item
	err  error
}

func (f *fieldReader) fail(field, problem string, args ...any) {
	if f.err == nil {
		f.err = invalid(f.item.key.String()+" "+field, problem, args...)
	}
}

// duration parses a duration. It returns 0 for an absent field.
func (f *fieldReader) duration(field, text string) time.Duration {
	if text == "" {
		return 0
	}
	t, err := bootstrap.ParseTime(text)
	if err != nil {
		f.fail(field, "%v", err)
	}
	return t
}

// finiteNumber rejects NaN and infinities, which protojson accepts as numbers.
func (f *fieldReader) finiteNumber(field string, n float64) float64 {
	if math.IsNaN(n) || math.IsInf(n, 0) {
		f.fail(field, "%v is no figure: write a plain number", n)
		return 0
	}
	return n
}

// integer truncates a number to an integer and clamps it to the range that is exact in both types.
func (f *fieldReader) integer(field string, n float64) int64 {
	return int64(min(maxExactInteger, max(-maxExactInteger, f.finiteNumber(field, n))))
}

func (i *item) readRoute(body []byte) error {
	var document RouteDocument
	if err := unmarshalProto(i.key.String(), body, &document); err != nil {
		return err
	}
	f := &fieldReader{item: i}
	r := &Route{
		Name:       i.name,
		Version:    i.version,
		Domain:     hostname(document.Domain),
		PathStart:  document.PathStart,
		Kind:       kindsByName[document.Kind],
		GiveUp:     f.duration("give_up", document.GiveUp),
		TargetTime: f.duration("target_time", document.TargetTime),
		Rank:       int(f.integer("rank", document.Rank)),
		Tries:      defaultAttempts,
		Public:     document.Public,
	}
	if document.Tries != nil {
		r.Tries = int(max(1, f.integer("tries", *document.Tries)))
	}
	if r.Domain == "" {
		f.fail("domain", "is missing: name the host that the route is for")
	}
	if !strings.HasPrefix(r.PathStart, "/") {
		f.fail("path_start", "%q doesn't begin with a slash: put one in front", r.PathStart)
	}
	if r.Kind == 0 {
		f.fail("kind", "%q is none of safe, unsafe, upload", document.Kind)
	}
	// Without a give_up there is no limit that the target time could exceed.
	if document.GiveUp != "" && r.TargetTime-r.GiveUp >= maxTargetTimeExcess {
		f.fail("target_time", "%s is a minute or more over give_up %s: lower it", document.TargetTime, document.GiveUp)
	}
	r.Shares = f.shares(&document)
	for _, s := range r.Shares {
		r.total += s.Weight
	}
	i.route = r
	return f.err
}

// shares returns the shares of a route. A single service becomes the only share.
func (f *fieldReader) shares(document *RouteDocument) []Share {
	if len(document.Shares) == 0 {
		if document.Service == "" {
			f.fail("service", "is missing, and so are shares: name where requests go")
		}
		return []Share{{document.Service, 1}}
	}
	all := make([]Share, 0, len(document.Shares))
	total := 0.0
	for _, s := range document.Shares {
		// The weight is clamped, so that the sum is finite.
		weight := min(maxExactInteger, max(0, f.finiteNumber("shares", s.Weight)))
		total += weight
		all = append(all, Share{s.Service, weight})
	}
	if total == 0 {
		f.fail("shares", "no weight is over 0: give one to each service that requests go to")
	}
	return all
}

func (i *item) readService(body []byte) error {
	var document ServiceDocument
	if err := unmarshalProto(i.key.String(), body, &document); err != nil {
		return err
	}
	f := &fieldReader{item: i}
	i.service = &Service{
		Name:       i.name,
		Version:    i.version,
		HealthPath: document.HealthPath,
		MaxConns:   int(max(0, f.integer("max_conns", document.MaxConns))),
		Warmup:     f.duration("warmup", document.Warmup),
		WarmupRate: max(0, f.finiteNumber("warmup_per_s", document.WarmupPerS)),
	}
	return f.err
}

func (i *item) readLimits(body []byte) error {
	var document LimitsDocument
	if err := unmarshalProto(i.key.String(), body, &document); err != nil {
		return err
	}
	f := &fieldReader{item: i}
	l := defaultLimits
	for _, b := range []struct {
		field string
		given float64
		into  *int64
	}{{"header_bytes", document.HeaderBytes, &l.HeaderBytes}, {"body_bytes", document.BodyBytes, &l.BodyBytes}} {
		if n := f.integer(b.field, b.given); n > 0 {
			*b.into = n
		}
	}
	for _, w := range []struct {
		field, given string
		into         *time.Duration
	}{{"header_wait", document.HeaderWait, &l.HeaderWait}, {"idle", document.Idle, &l.Idle}} {
		if t := f.duration(w.field, w.given); t > 0 {
			*w.into = t
		}
	}
	i.limits = &l
	return f.err
}
