// Package jsonstream reads a JSON object that holds a long list, one element at a time, so that the
// memory of a reader follows the largest element and not the whole text.
//
// It finds where values begin and end; the caller decodes them and thereby checks their syntax. A
// text that is cut is always an error.
package jsonstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// bufferBytes is the size of the read buffer.
const bufferBytes = 32 << 10

// ErrTooLong is the error of an element, or of a field beside the list, that exceeds the limit.
var ErrTooLong = errors.New("an element of the JSON text is too long")

// Element is one element of the list. Its slices are valid until the next element is read.
type Element struct {
	// Text is the JSON of the element. The lifted string is empty in it.
	Text []byte
	// Lifted is the content of the string that was lifted out, if IsLifted is set. It has no escapes.
	Lifted   []byte
	IsLifted bool
}

// Reader reads one object.
type Reader struct {
	// List is the name of the object's field that holds the list.
	List string
	// Lift is the name of a field of the elements whose string value is not part of their text. The
	// standard decoder would scan a long string several times.
	Lift string
	// Limit bounds the text and the lifted string of one element, in bytes.
	Limit int

	in      *bufio.Reader
	element Element
}

// Read reads an object from a stream up to the stream's end. It passes each element of the list to
// take, whose error ends the reading, and returns the object's other fields.
func (r *Reader) Read(stream io.Reader, take func(Element) error) (map[string]json.RawMessage, error) {
	r.in = bufio.NewReaderSize(stream, bufferBytes)
	fields := map[string]json.RawMessage{}
	if err := r.expect('{'); err != nil {
		return nil, err
	}
	err := r.sequence('}', func() error { return r.field(fields, take) })
	if err != nil {
		return nil, err
	}
	return fields, r.end()
}

// field reads one field of the object.
func (r *Reader) field(fields map[string]json.RawMessage, take func(Element) error) error {
	if err := r.value(); err != nil {
		return err
	}
	var name string
	if err := json.Unmarshal(r.element.Text, &name); err != nil {
		return fmt.Errorf("name of a field: %w", err)
	}
	if err := r.expect(':'); err != nil {
		return err
	}
	c, err := r.next()
	if err != nil {
		return err
	}
	if name == r.List && c == '[' {
		return r.sequence(']', func() error {
			if err := r.value(); err != nil {
				return err
			}
			return take(r.element)
		})
	}
	if err := r.in.UnreadByte(); err != nil {
		return err
	}
	if err := r.value(); err != nil {
		return err
	}
	fields[name] = bytes.Clone(r.element.Text)
	return nil
}

// sequence reads elements separated by commas, up to and including the closing byte.
func (r *Reader) sequence(closing byte, element func() error) error {
	c, err := r.next()
	if err != nil || c == closing {
		return err
	}
	if err := r.in.UnreadByte(); err != nil {
		return err
	}
	for {
		if err := element(); err != nil {
			return err
		}
		c, err := r.next()
		switch {
		case err != nil:
			return err
		case c == closing:
			return nil
		case c != ',':
			return fmt.Errorf("unexpected %q after an element", c)
		}
	}
}

// value reads one value into r.element.
func (r *Reader) value() error {
	e := &r.element
	e.Text, e.Lifted, e.IsLifted = e.Text[:0], e.Lifted[:0], false
	depth := 0
	// name is the field of the element that is being read, and lastString where the last string at
	// depth 1 began, which becomes the name at a colon.
	var name []byte
	lastString := 0
	for {
		c, err := r.next()
		if err != nil {
			return err
		}
		switch c {
		case '"':
			lift := depth == 1 && r.Lift != "" && string(name) == r.Lift
			if depth == 1 {
				lastString = len(e.Text)
			}
			err = r.readString(lift)
		case '{', '[':
			depth++
			err = r.add(c)
		case '}', ']':
			depth--
			err = r.add(c)
		case ',', ':':
			if depth == 1 {
				name = nil
			}
			if depth == 1 && c == ':' {
				name = bytes.Trim(e.Text[lastString:], `"`)
			}
			err = r.add(c)
			if err == nil && depth > 0 {
				continue
			}
		default:
			err = r.readLiteral(c)
		}
		if err != nil {
			return err
		}
		if depth < 0 || depth == 0 && (c == ',' || c == ':') {
			return fmt.Errorf("unexpected %q in place of a value", c)
		}
		if depth == 0 {
			return nil
		}
	}
}

// readString reads a string whose opening quote has been read.
func (r *Reader) readString(lift bool) error {
	e := &r.element
	if !lift {
		if err := r.add('"'); err != nil {
			return err
		}
		text, err := r.appendString(e.Text)
		e.Text = text
		return err
	}
	content, err := r.appendString(e.Lifted[:0])
	e.Lifted = content
	if err != nil {
		return err
	}
	content = content[:len(content)-1]
	if bytes.ContainsAny(content, "\\\r\n") {
		e.Text = append(append(e.Text, '"'), e.Lifted...)
		e.Lifted, e.IsLifted = e.Lifted[:0], false
		return r.check()
	}
	e.Text = append(e.Text, '"', '"')
	e.Lifted, e.IsLifted = content, true
	return r.check()
}

// appendString appends the rest of a string, with its closing quote.
func (r *Reader) appendString(to []byte) ([]byte, error) {
	start := len(to)
	for {
		chunk, err := r.in.ReadSlice('"')
		to = append(to, chunk...)
		switch {
		case len(to) > r.Limit:
			return to, ErrTooLong
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return to, cut(err)
		case !endsEscaped(to[start : len(to)-1]):
			return to, nil
		}
	}
}

// endsEscaped reports whether the byte after a text in a string is escaped.
func endsEscaped(text []byte) bool {
	return (len(text)-len(bytes.TrimRight(text, `\`)))%2 == 1
}

// readLiteral reads a number, true, false or null that begins with c.
func (r *Reader) readLiteral(c byte) error {
	for {
		if err := r.add(c); err != nil {
			return err
		}
		next, err := r.in.Peek(1)
		if err != nil {
			return cut(err)
		}
		if bytes.IndexByte([]byte(",:]}[{\" \t\r\n"), next[0]) >= 0 {
			return nil
		}
		c = next[0]
		if _, err := r.in.Discard(1); err != nil {
			return err
		}
	}
}

// add appends a byte to the text of the element.
func (r *Reader) add(c byte) error {
	r.element.Text = append(r.element.Text, c)
	return r.check()
}

func (r *Reader) check() error {
	if len(r.element.Text)+len(r.element.Lifted) > r.Limit {
		return ErrTooLong
	}
	return nil
}

// next returns the next byte that is no white space.
func (r *Reader) next() (byte, error) {
	for {
		c, err := r.in.ReadByte()
		if err != nil {
			return 0, cut(err)
		}
		if !isSpace(c) {
			return c, nil
		}
	}
}

func (r *Reader) expect(want byte) error {
	c, err := r.next()
	if err == nil && c != want {
		err = fmt.Errorf("unexpected %q in place of %q", c, want)
	}
	return err
}

// end reads up to the end of the stream, where nothing but white space may follow.
func (r *Reader) end() error {
	for {
		c, err := r.in.ReadByte()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case !isSpace(c):
			return fmt.Errorf("unexpected %q after the object", c)
		}
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// cut returns the error of a read inside the object: its end is no proper end there.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
