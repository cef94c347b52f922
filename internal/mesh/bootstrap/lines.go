package bootstrap

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/samber/oops"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// line is the line that holds a field.
type line struct {
	number int // from 1
	value  string
}

// read turns the lines into JSON and that into the protobuf type. Each line is a document of its
// own, and these are merged: so a value that can't be read is known by its line, which protojson
// could not tell of one document for all.
func read(text []byte) (*File, map[string]line, error) {
	lines := make(map[string]line)
	number := 0
	for row := range strings.Lines(string(text)) {
		number++
		row = strings.TrimSpace(row)
		if row == "" || row[0] == '#' {
			continue
		}
		field, value, ok := strings.Cut(row, "=")
		if !ok {
			return nil, nil, oops.In("settings").With("line", number).
				Errorf("%q has no = (line %d): each line is field=value; was the file cut short?", row, number)
		}
		field = strings.TrimSpace(field)
		if value = strings.TrimSpace(value); value == "" {
			delete(lines, field)
			continue
		}
		lines[field] = line{number, value}
	}
	file := new(File)
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	for _, field := range slices.Sorted(maps.Keys(lines)) {
		at := lines[field]
		document, err := json.Marshal(object(file.ProtoReflect().Descriptor(), field, at.value))
		if err != nil {
			return nil, nil, oops.In("settings").With("field", field, "line", at.number).Wrap(err)
		}
		one := new(File)
		if err := options.Unmarshal(document, one); err != nil {
			return nil, nil, wrong(field, at.value, at.number, "of another kind",
				"write numbers as 16 or 0.5, true or false in full, and commas in lists only")
		}
		proto.Merge(file, one)
	}
	return file, lines, nil
}

// object is the JSON object that a line stands for. The type says which values are lists, and which
// words are values of their own; numbers are taken from text as well.
func object(d protoreflect.MessageDescriptor, field, value string) map[string]any {
	first, rest, nested := strings.Cut(field, ".")
	f := d.Fields().ByName(protoreflect.Name(first))
	switch {
	case f == nil || nested != (f.Message() != nil):
		return map[string]any{} // not a field that is known, even if a part of its name is
	case f.IsMap():
		return map[string]any{first: map[string]string{rest: value}}
	case f.IsList():
		return map[string]any{first: list(value)}
	case nested:
		return map[string]any{first: object(f.Message(), rest, value)}
	case f.Kind() == protoreflect.BoolKind && (value == "true" || value == "false"):
		return map[string]any{first: value == "true"}
	}
	return map[string]any{first: value}
}
