package standin

import (
	"bytes"
	"strings"
)

// pattern fills long bodies. Its length has no common divisor with usual buffers, so that a piece that is lost or doubled shows.
var pattern = strings.Repeat("0123456789abcdefghijklmnopqrstuvwxyz", 27) + "!"

// fill makes a text as long as a size, behind a line that ends it.
func fill(text string, size int) string {
	if len(text)+1 >= size {
		return text
	}
	rest := size - len(text) - 1
	return text + "\n" + (strings.Repeat(pattern, rest/len(pattern)+1))[:rest]
}

// unfill returns the text of a body that was filled, and whether all of it is as it was made.
func unfill(body []byte) (text string, whole bool) {
	line, rest, filled := bytes.Cut(body, []byte("\n"))
	for filled && len(rest) > 0 {
		n := min(len(rest), len(pattern))
		if string(rest[:n]) != pattern[:n] {
			return string(line), false
		}
		rest = rest[n:]
	}
	return string(line), true
}
