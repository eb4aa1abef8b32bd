// Package responsecheck checks HTTP/1.1 responses as their bytes arrive on a connection, before
// anything interprets them. The HTTP library trims field names, replaces a status of 0 by 200 and
// takes unknown versions for known ones, and its result no longer shows it: a malformed head would
// be passed on as a valid one, or delimit a body that is not the sender's.
//
// Source: RFC 9110 and RFC 9112. Where they let a recipient choose, the check accepts what cannot be
// misunderstood: lines that end with LF alone, folded field values, a status line without a
// reason, and statuses from 600 on.
package responsecheck

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
)

// Rule names the rule that a malformed response breaks, as written to logs and metrics.
type Rule string

// Rules for responses.
const (
	// Version: the version is HTTP/1.0 or HTTP/1.1.
	Version Rule = "version"
	// Status: the status line holds a status of three digits, from 100 on. Status 101 would
	// switch to a protocol that no request asks for.
	Status Rule = "status"
	// FieldName: a field name is a token that its colon follows directly.
	FieldName Rule = "field_name"
	// FieldValue: a field value or a reason holds no control characters except tabs.
	FieldValue Rule = "field_value"
	// Framing: the head delimits the body in one way.
	Framing Rule = "framing"
	// Chunk: the chunks of a body have a size and end where it says.
	Chunk Rule = "chunk"
	// Line: a head ends with an empty line, and no line exceeds maxLine.
	Line Rule = "line"
)

// Error says how a response is malformed.
type Error struct {
	Rule   Rule
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return "malformed response: " + e.Detail }

func malformed(rule Rule, format string, args ...any) *Error {
	return &Error{rule, fmt.Sprintf(format, args...)}
}

const (
	// maxLine is the size limit of one line in bytes. Whoever reads has a smaller limit for a
	// head; this one bounds what is kept of a line that arrives in pieces.
	maxLine = 64 << 10
	// maxQuoted is how many bytes of a malformed line an error shows.
	maxQuoted = 64
)

var errLongLine = malformed(Line, "a line exceeds %d bytes", maxLine)

// state says what the next byte belongs to.
type state int

const (
	// statusLine is also the state between two responses.
	statusLine state = iota
	headField
	chunkSize
	chunkEnd
	trailerField
	// sizedData is followed by the next response, or by chunkEnd in a chunked body.
	sizedData
	// dataUntilClose lasts until the connection ends.
	dataUntilClose
)

// Reader passes on the bytes of a connection and checks the responses in them. It is not safe for
// concurrent use.
type Reader struct {
	src   io.Reader
	state state
	// partial holds the part of the current line that earlier reads returned.
	partial []byte
	// left is the number of bytes left in sizedData.
	left int64
	head head
	// headRequest says that the responses answer HEAD requests.
	headRequest bool
	err         *Error
}

// NewReader returns a reader of the responses on a connection.
func NewReader(src io.Reader) *Reader { return &Reader{src: src} }

// SetHeadRequest says whether the following responses answer HEAD requests, whose responses have
// no body.
func (r *Reader) SetHeadRequest(head bool) { r.headRequest = head }

// Malformed returns how a response was malformed, nil if none was.
func (r *Reader) Malformed() *Error { return r.err }

// BetweenResponses reports whether the last response has ended and nothing followed it. It is true
// before the first response.
func (r *Reader) BetweenResponses() bool {
	return r.state == statusLine && len(r.partial) == 0 && r.err == nil && (r.head.status == 0 || !r.head.interim())
}

// Read implements io.Reader. It returns an *Error in place of the end of a malformed line, and
// from then on.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.src.Read(p)
	n = r.check(p[:n])
	if r.err != nil && n == 0 {
		return 0, r.err
	}
	if r.err != nil {
		// The next read returns the error: readers drop the bytes that come with one.
		return n, nil
	}
	return n, err
}

// check follows the responses in b and returns how many bytes of it to pass on: all, or those
// before the end of a malformed line. Without its end, no reader can take it for complete.
func (r *Reader) check(b []byte) int {
	at := 0
	for at < len(b) {
		switch r.state {
		case dataUntilClose:
			return len(b)
		case sizedData:
			n := min(r.left, int64(len(b)-at))
			r.skip(n)
			at += int(n)
		default:
			end := bytes.IndexByte(b[at:], '\n')
			if end < 0 {
				r.err = r.keep(b[at:])
				return len(b)
			}
			if r.err = r.endLine(r.line(b[at : at+end])); r.err != nil {
				return at + end
			}
			r.partial = r.partial[:0]
			at += end + 1
		}
	}
	return at
}

// keep stores the beginning of a line whose end has not arrived.
func (r *Reader) keep(b []byte) *Error {
	if len(r.partial)+len(b) > maxLine {
		return errLongLine
	}
	r.partial = append(r.partial, b...)
	return nil
}

// line returns a line, without its LF, of which b is the part that arrived last.
func (r *Reader) line(b []byte) []byte {
	if len(r.partial) == 0 {
		return b
	}
	r.partial = append(r.partial, b...)
	return r.partial
}

// skip passes over n bytes of a body.
func (r *Reader) skip(n int64) {
	r.left -= n
	if r.left > 0 {
		return
	}
	r.state = statusLine
	if r.head.chunked {
		r.state = chunkEnd
	}
}

// endLine checks a line, without its LF, and changes the state.
func (r *Reader) endLine(line []byte) *Error {
	if len(line) > maxLine {
		return errLongLine
	}
	text, crlf := bytes.CutSuffix(line, []byte{'\r'})
	switch r.state {
	case statusLine:
		r.head = head{length: noLength}
		r.state = headField
		return r.head.parseStatusLine(text)
	case headField, trailerField:
		return r.endFieldLine(text, crlf)
	case chunkSize:
		return r.endChunkSize(text, crlf)
	default:
		r.state = chunkSize
		if len(text) > 0 || !crlf {
			return malformed(Chunk, "a chunk is followed by %s", quote(line))
		}
		return nil
	}
}

// endFieldLine checks a line of a head or of a trailer section, or the empty line after it.
func (r *Reader) endFieldLine(text []byte, crlf bool) *Error {
	if len(text) > 0 {
		r.head.lastEndsWithLF = !crlf
		return r.head.parseField(text, r.state == trailerField)
	}
	if !crlf || r.head.lastEndsWithLF {
		return malformed(Line, "the fields do not end with CRLF and an empty line")
	}
	if r.state == trailerField {
		r.state = statusLine
		return nil
	}
	r.endHead()
	return nil
}

// endHead changes to the state after a head. Source: RFC 9112, section 6.3.
func (r *Reader) endHead() {
	r.head.fields, r.head.lastEndsWithLF = 0, false
	switch {
	case r.headRequest && !r.head.interim(), r.head.neverHasBody():
		r.state = statusLine
	case r.head.chunked:
		r.state = chunkSize
	case r.head.length == noLength:
		r.state = dataUntilClose
	case r.head.length == 0:
		r.state = statusLine
	default:
		r.state, r.left = sizedData, r.head.length
	}
}

// maxChunkDigits limits the digits of a chunk size, so that it fits into 63 bits.
const maxChunkDigits = 15

// endChunkSize checks the line before a chunk: its size and extensions.
func (r *Reader) endChunkSize(text []byte, crlf bool) *Error {
	digits := 0
	for digits < len(text) && isHexDigit(text[digits]) {
		digits++
	}
	if digits == 0 || digits > maxChunkDigits || !crlf || !endsChunkSize(text[digits:]) {
		return malformed(Chunk, "the line of a chunk size is %s", quote(text))
	}
	size, err := strconv.ParseInt(string(text[:digits]), 16, 64)
	if err != nil {
		return malformed(Chunk, "the chunk size %s: %v", quote(text), err)
	}
	r.state, r.left = sizedData, size
	if size == 0 {
		r.state = trailerField
	}
	return nil
}

// endsChunkSize reports whether text may follow a chunk size: nothing, or extensions.
func endsChunkSize(text []byte) bool {
	text = bytes.TrimLeft(text, " \t")
	return len(text) == 0 || text[0] == ';' && validValue(text)
}

// quote returns the beginning of a line for an error.
func quote(b []byte) string { return strconv.Quote(string(b[:min(len(b), maxQuoted)])) }
