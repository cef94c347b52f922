// Package tomlfile reads the TOML files of operators strictly, and tells what is wrong with its line and its field.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"example.org/micaline/internal/api"
)

// Error is what is wrong with a file, and where.
type Error struct {
	Line  int // from 1; 0 if it is about the whole file
	Field string
	What  string
}

func (e *Error) Error() string {
	var at []string
	if e.Line > 0 {
		at = append(at, fmt.Sprintf("line %d", e.Line))
	}
	if e.Field != "" {
		at = append(at, e.Field)
	}
	return strings.Join(append(at, e.What), ": ")
}

// Decode reads a text into v, which may hold defaults. A field that v lacks is an error. Its error is an *Error.
func Decode(text []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	var strict *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		line, _ := strict.Errors[0].Position()
		return &Error{line, strings.Join(strict.Errors[0].Key(), "."), "there is no such field"}
	case errors.As(err, &bad):
		line, _ := bad.Position()
		return &Error{line, strings.Join(bad.Key(), "."), strings.TrimPrefix(bad.Error(), "toml: ")}
	}
	return &Error{What: err.Error()}
}

// At gives what a check has found its line. What is checked is in a table, "" for the file itself.
func At(text []byte, table string, err error) error {
	var f *api.FieldError
	if !errors.As(err, &f) {
		return err
	}
	field := strings.TrimPrefix(table+"."+f.Field, ".")
	return &Error{Line: LineOf(text, field), Field: field, What: f.What}
}
