package standin

import (
	"fmt"
	"strings"
)

// spoiling is one way in which an answer is spoilt, or brings more than belongs to it.
type spoiling struct {
	name  string
	good  bool // the answer can still be served
	spoil func(whole, body string) string
}

// spoilt are the spoilt answers that the protocol names.
var spoilt = []spoiling{
	{"noise", false, func(string, string) string { return "\x00\xff SSH-2.0\r\n\r\n" }},
	{"a head that does not end", false, func(string, string) string { return "HTTP/1.1 200 OK\r\nX-Endless: " }},
	{"a head that is too long", false, func(string, string) string {
		return "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 64<<10)
	}},
	{"shorter than it says", false, func(whole, _ string) string { return whole[:len(whole)-1] }},
	{"said to have 3 GB", false, func(_, body string) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + body
	}},
	{"two lengths", false, func(_, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Length: 3\r\n\r\n%s", len(body), body)
	}},
	{"bad chunks", false, func(string, string) string {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf"
	}},
	{"another protocol", false, func(string, string) string {
		return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
	}},
	{"a second copy behind", true, func(whole, _ string) string { return whole + whole }},
	{"noise behind", true, func(whole, _ string) string { return whole + "\x00\x01\r\n\r\n" }},
	{"hints ahead", true, func(whole, _ string) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + whole
	}},
	{"a report that can't be read", true, func(whole, _ string) string {
		return strings.Replace(whole, "Content-Type", loadHeader+": outstanding=-Inf,=,\r\nContent-Type", 1)
	}},
}
