// Package exit has the error that ends the program with a code of its own.
package exit

import "fmt"

// Error ends the program with a code.
type Error struct {
	Code int
	Err  error // nil: all has been said
}

func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

func (e *Error) Unwrap() error { return e.Err }
