package responsecheck

import (
	"bytes"
	"net/http"
	"strconv"
)

// noLength is the length of a head that declares none.
const noLength = -1

// head is what a response's head says about its end.
type head struct {
	oldVersion bool
	status     int
	// length is the declared length of the body in bytes, or noLength.
	length  int64
	chunked bool
	// fields counts the fields of the head, then those of the trailer section.
	fields int
	// framingField says that the last field delimits the body.
	framingField bool
	// lastEndsWithLF says that the last field line ended with LF alone.
	lastEndsWithLF bool
}

// interim reports whether another head follows.
func (h *head) interim() bool { return h.status < http.StatusOK }

// neverHasBody reports whether the status excludes a body.
func (h *head) neverHasBody() bool {
	return h.interim() || h.status == http.StatusNoContent || h.status == http.StatusNotModified
}

const (
	http10 = "HTTP/1.0"
	http11 = "HTTP/1.1"
	// statusDigits is the length of a status.
	statusDigits = 3
)

// parseStatusLine checks a status line. Source: RFC 9112, section 4.
func (h *head) parseStatusLine(text []byte) *Error {
	version, rest, ok := bytes.Cut(text, []byte{' '})
	if string(version) != http10 && string(version) != http11 {
		return malformed(Version, "it begins with %s", quote(text))
	}
	h.oldVersion = string(version) == http10
	status, reason, _ := bytes.Cut(rest, []byte{' '})
	if !ok || len(status) != statusDigits {
		return malformed(Status, "the status line is %s", quote(text))
	}
	for _, c := range status {
		if c < '0' || c > '9' {
			return malformed(Status, "the status line is %s", quote(text))
		}
		h.status = 10*h.status + int(c-'0')
	}
	if h.status < http.StatusContinue || h.status == http.StatusSwitchingProtocols {
		return malformed(Status, "status %s", status)
	}
	if !validValue(reason) {
		return malformed(FieldValue, "the reason %s holds a control character", quote(reason))
	}
	return nil
}

// parseField checks a field line of a head, or of a trailer section, where nothing delimits the
// body any more. Source: RFC 9110, section 5, and RFC 9112, section 5.
func (h *head) parseField(text []byte, trailer bool) *Error {
	if text[0] == ' ' || text[0] == '\t' {
		return h.parseFold(text)
	}
	end := 0
	for end < len(text) && isTokenByte[text[end]] {
		end++
	}
	if end == 0 || end == len(text) || text[end] != ':' {
		return malformed(FieldName, "the field line %s has no valid name", quote(text))
	}
	if !validValue(text[end+1:]) {
		return malformed(FieldValue, "the value of field %s holds a control character", quote(text[:end]))
	}
	h.fields++
	h.framingField = false
	if trailer {
		return nil
	}
	return h.parseFraming(text[:end], text[end+1:])
}

// parseFold checks a line that continues the value of the field before it.
func (h *head) parseFold(text []byte) *Error {
	switch {
	case h.fields == 0:
		return malformed(FieldName, "the first field line %s begins with a blank", quote(text))
	case h.framingField:
		return malformed(Framing, "a field that delimits the body is folded")
	case !validValue(text):
		return malformed(FieldValue, "the folded line %s holds a control character", quote(text))
	}
	return nil
}

// parseFraming takes in a field that delimits the body. Two such fields contradict each other, or
// would if either were changed on the way. Source: RFC 9112, section 6.
func (h *head) parseFraming(name, value []byte) *Error {
	switch {
	case isName(name, "Content-Length"):
		return h.parseLength(trimBlanks(value))
	case isName(name, "Transfer-Encoding"):
		return h.parseTransferEncoding(trimBlanks(value))
	}
	return nil
}

// isName reports whether a field has a name, in upper or lower case.
func isName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// trimBlanks returns a value without the blanks around it.
func trimBlanks(value []byte) []byte { return bytes.Trim(value, " \t") }

func (h *head) parseLength(value []byte) *Error {
	h.framingField = true
	if h.chunked || h.length != noLength {
		return malformed(Framing, "the body is delimited twice")
	}
	for _, c := range value {
		if c < '0' || c > '9' {
			return malformed(Framing, "the length is %s", quote(value))
		}
	}
	length, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return malformed(Framing, "the length is %s", quote(value))
	}
	h.length = length
	return nil
}

func (h *head) parseTransferEncoding(value []byte) *Error {
	h.framingField = true
	switch {
	case h.oldVersion:
		return malformed(Framing, "a response of version 1.0 has a transfer encoding")
	case h.chunked || h.length != noLength:
		return malformed(Framing, "the body is delimited twice")
	case !bytes.EqualFold(value, []byte("chunked")):
		return malformed(Framing, "the transfer encoding is %s", quote(value))
	}
	h.chunked = true
	return nil
}

// validValue reports whether a field value or a reason holds no control character except tabs.
func validValue(b []byte) bool {
	for _, c := range b {
		if isControl[c] {
			return false
		}
	}
	return true
}

// isControl holds the control characters except tabs.
var isControl = func() (table [256]bool) {
	for c := range ' ' {
		table[c] = c != '\t'
	}
	table[0x7f] = true
	return table
}()

// isTokenByte holds the bytes of tokens. Source: RFC 9110, section 5.6.2.
var isTokenByte = func() (table [256]bool) {
	for c := '0'; c <= 'z'; c++ {
		table[c] = c <= '9' || 'A' <= c && c <= 'Z' || 'a' <= c
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		table[c] = true
	}
	return table
}()

func isHexDigit(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}
