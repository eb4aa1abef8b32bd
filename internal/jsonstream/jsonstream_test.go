package jsonstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// read reads a text and returns the elements with their lifted strings put back.
func read(text io.Reader, limit int) (elements []string, fields map[string]json.RawMessage, err error) {
	r := &Reader{List: "items", Lift: "value", Limit: limit}
	fields, err = r.Read(text, func(e Element) error {
		s := string(e.Text)
		if e.IsLifted {
			s += "+" + string(e.Lifted)
		}
		elements = append(elements, s)
		return nil
	})
	return elements, fields, err
}

func TestElementsAndFields(t *testing.T) {
	text := ` {"a": {"items":[1]}, "items" : [ {"k":"x","value":"long"}, {"value":"\"e\\","v":[{"value":"in"}]}, 7, null,"s\\"],"b":-1.5e3 ,"c":null} ` + "\n"
	for name, stream := range map[string]io.Reader{"whole": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text))} {
		elements, fields, err := read(stream, 1000)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		want := []string{`{"k":"x","value":""}+long`, `{"value":"\"e\\","v":[{"value":"in"}]}`, `7`, `null`, `"s\\"`}
		if strings.Join(elements, "\n") != strings.Join(want, "\n") {
			t.Errorf("%s: %q", name, elements)
		}
		if string(fields["a"]) != `{"items":[1]}` || string(fields["b"]) != "-1.5e3" || string(fields["c"]) != "null" || len(fields) != 3 {
			t.Errorf("%s: %q", name, fields)
		}
	}
}

// Guards against a text that was cut and reads as a shorter one, at every byte.
func TestCutTextIsAnError(t *testing.T) {
	text := `{"items":[{"key":"a","value":"YQ=="},{"key":"b","value":"\\"}],"more":false}`
	for i := range len(text) {
		if _, _, err := read(strings.NewReader(text[:i]), 1000); err == nil {
			t.Errorf("%q is taken as whole", text[:i])
		}
	}
}

// Guards against a text of any size that takes memory beyond the limit.
func TestLongElementsEndTheReading(t *testing.T) {
	long := strings.Repeat("x", 2000)
	for name, text := range map[string]string{
		"lifted":  `{"items":[{"value":"` + long,
		"string":  `{"items":[{"key":"` + long,
		"numbers": `{"items":[` + strings.Repeat("1", 2000),
		"lists":   `{"items":[` + strings.Repeat("[", 2000),
		"name":    `{"` + long,
		"field":   `{"a":[` + strings.Repeat("1,", 2000),
	} {
		if _, _, err := read(strings.NewReader(text), 1000); !errors.Is(err, ErrTooLong) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestMalformedTextIsAnError(t *testing.T) {
	for _, text := range []string{``, `[]`, `{"items":[1]} x`, `{"items":[1 2]}`, `{"items":[,]}`, `{"items":[:]}`, `{"items" [1]}`, `{items:[]}`, `{"items":[}]`, `{"items":]}`, `{"a":1,}`} {
		if elements, _, err := read(strings.NewReader(text), 1000); err == nil {
			t.Errorf("%s: %q", text, elements)
		}
	}
}

// FuzzRead compares valid objects with what the standard library reads.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"items":[{"value":"a"},{"key":1}],"more":true}`))
	f.Add([]byte(`{"items":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var got [][]byte
		r := &Reader{List: "items", Limit: 1 << 20}
		fields, err := r.Read(bytes.NewReader(text), func(e Element) error {
			got = append(got, bytes.Clone(e.Text))
			return nil
		})
		var want map[string]json.RawMessage
		if json.Unmarshal(text, &want) != nil || want == nil {
			return
		}
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		var list []json.RawMessage
		if json.Unmarshal(want["items"], &list) == nil && len(list) > len(got) {
			t.Errorf("%q: %d elements of %d", text, len(got), len(list))
		}
		for name := range want {
			if name != "items" && fields[name] == nil {
				t.Errorf("%q: no field %q", text, name)
			}
		}
	})
}
