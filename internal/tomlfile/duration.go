package tomlfile

import (
	"fmt"
	"time"
)

// Duration is a time in Go's notation, such as "250ms".
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// D is the duration as the standard library knows it.
func (d Duration) D() time.Duration { return time.Duration(d) }
