// Package tomlpb decodes TOML strictly into generated protobuf messages. TOML
// keys are the schema's field names; an unknown key, a wrong type or a value
// that does not fit is a finding with its line.
package tomlpb

import (
	"errors"
	"fmt"
	"math"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"sycamorekeel.example/sycamorekeel/internal/finding"
)

// MaxBytes is the largest input decoded: the platform's limit for a value.
const MaxBytes = 1 << 20

// MaxFindings bounds the findings of one input, and maxText the length of each
// part of one: the findings of a rejected document are kept by every daemon.
const (
	MaxFindings = 200
	maxText     = 300
)

// Source is a decoded input that still knows where each field stood.
type Source struct {
	name     string
	lines    map[string]int
	findings finding.List
	// more counts the findings beyond MaxFindings.
	more int
}

// Decode fills msg from data. name stands in the findings. The source is never
// nil; its findings tell whether msg may be used.
func Decode(name string, data []byte, msg proto.Message) *Source {
	s := &Source{name: name}
	if len(data) > MaxBytes {
		s.Addf("", "is %d bytes long; at most %d are allowed", len(data), MaxBytes)
		return s
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		s.addSyntax(err)
		return s
	}
	s.lines = indexLines(data)
	s.table("", tree, msg.ProtoReflect())
	return s
}

// Locate makes a source of an input that was decoded before, to add findings
// with their places.
func Locate(name string, data []byte) *Source {
	return &Source{name: name, lines: indexLines(data)}
}

// Addf records a finding at a field, for checks that follow decoding.
func (s *Source) Addf(field, format string, args ...any) {
	s.add(finding.Finding{Line: s.line(field), Field: field, Message: fmt.Sprintf(format, args...)})
}

func (s *Source) add(f finding.Finding) {
	if len(s.findings) >= MaxFindings {
		s.more++
		return
	}
	f.File = s.name
	f.Field = shorten(f.Field)
	f.Message = shorten(f.Message)
	s.findings = append(s.findings, f)
}

func shorten(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "") + "..."
}

// Findings is everything found so far, by line.
func (s *Source) Findings() finding.List {
	sort.SliceStable(s.findings, func(i, j int) bool {
		return s.findings[i].Line < s.findings[j].Line
	})
	if s.more == 0 {
		return s.findings
	}
	rest := finding.Finding{File: s.name, Message: fmt.Sprintf("and %d more findings", s.more)}
	return append(s.findings[:len(s.findings):len(s.findings)], rest)
}

// Has tells whether the field is written in the input.
func (s *Source) Has(field string) bool {
	_, ok := s.lines[field]
	return ok
}

// line finds the field or, for one that was left out, its nearest table.
func (s *Source) line(field string) int {
	for field != "" {
		if n, ok := s.lines[field]; ok {
			return n
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			return 0
		}
		field = field[:cut]
	}
	return 0
}

func (s *Source) addSyntax(err error) {
	f := finding.Finding{Message: err.Error()}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		f.Line, _ = de.Position()
	}
	s.add(f)
}

func (s *Source) table(path string, tree map[string]any, msg protoreflect.Message) {
	fields := msg.Descriptor().Fields()
	for _, key := range sortedKeys(tree) {
		at := join(path, key)
		fd := fields.ByName(protoreflect.Name(key))
		if fd == nil {
			s.Addf(at, "unknown setting; known here: %s", known(fields))
			continue
		}
		s.field(at, tree[key], msg, fd)
	}
}

func (s *Source) field(at string, v any, msg protoreflect.Message, fd protoreflect.FieldDescriptor) {
	if fd.IsList() {
		s.list(at, v, msg.Mutable(fd).List(), fd)
		return
	}
	if fd.Kind() == protoreflect.MessageKind {
		s.message(at, v, msg.Mutable(fd).Message())
		return
	}
	if value, ok := s.scalar(at, v, fd); ok {
		msg.Set(fd, value)
	}
}

func (s *Source) list(at string, v any, list protoreflect.List, fd protoreflect.FieldDescriptor) {
	items, ok := v.([]any)
	if !ok {
		s.Addf(at, "must be a list, not %s", kindOf(v))
		return
	}
	for i, item := range items {
		place := fmt.Sprintf("%s[%d]", at, i)
		if fd.Kind() == protoreflect.MessageKind {
			s.message(place, item, list.AppendMutable().Message())
			continue
		}
		if value, ok := s.scalar(place, item, fd); ok {
			list.Append(value)
		}
	}
}

func (s *Source) message(at string, v any, msg protoreflect.Message) {
	tree, ok := v.(map[string]any)
	if !ok {
		s.Addf(at, "must be a table, not %s", kindOf(v))
		return
	}
	s.table(at, tree, msg)
}

func (s *Source) scalar(at string, v any, fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	switch fd.Kind() {
	case protoreflect.StringKind:
		if text, ok := v.(string); ok {
			return protoreflect.ValueOfString(text), true
		}
		return s.wrong(at, "a string", v)
	case protoreflect.BoolKind:
		if b, ok := v.(bool); ok {
			return protoreflect.ValueOfBool(b), true
		}
		return s.wrong(at, "true or false", v)
	case protoreflect.DoubleKind:
		return s.number(at, v)
	case protoreflect.Uint32Kind:
		n, ok := s.whole(at, v, math.MaxUint32)
		return protoreflect.ValueOfUint32(uint32(n)), ok
	case protoreflect.Uint64Kind:
		n, ok := s.whole(at, v, math.MaxInt64)
		return protoreflect.ValueOfUint64(uint64(n)), ok
	case protoreflect.EnumKind:
		return s.enum(at, v, fd.Enum().Values())
	default:
		s.Addf(at, "cannot be set from TOML")
		return protoreflect.Value{}, false
	}
}

func (s *Source) wrong(at, want string, v any) (protoreflect.Value, bool) {
	s.Addf(at, "must be %s, not %s", want, kindOf(v))
	return protoreflect.Value{}, false
}

func (s *Source) number(at string, v any) (protoreflect.Value, bool) {
	switch n := v.(type) {
	case float64:
		if math.IsNaN(n) || math.IsInf(n, 0) {
			s.Addf(at, "must be a finite number")
			return protoreflect.Value{}, false
		}
		return protoreflect.ValueOfFloat64(n), true
	case int64:
		return protoreflect.ValueOfFloat64(float64(n)), true
	}
	return s.wrong(at, "a number", v)
}

func (s *Source) whole(at string, v any, most int64) (int64, bool) {
	n, ok := v.(int64)
	if !ok {
		s.Addf(at, "must be a whole number, not %s", kindOf(v))
		return 0, false
	}
	if n < 0 || n > most {
		s.Addf(at, "must be from 0 to %d, not %d", most, n)
		return 0, false
	}
	return n, true
}

func (s *Source) enum(at string, v any, values protoreflect.EnumValueDescriptors) (protoreflect.Value, bool) {
	text, ok := v.(string)
	if !ok {
		return s.wrong(at, "a string", v)
	}
	var allowed []string
	for i := 1; i < values.Len(); i++ {
		name := strings.ToLower(string(values.Get(i).Name()))
		if name == text {
			return protoreflect.ValueOfEnum(values.Get(i).Number()), true
		}
		allowed = append(allowed, name)
	}
	s.Addf(at, "must be one of %s, not %q", strings.Join(allowed, ", "), text)
	return protoreflect.Value{}, false
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func known(fields protoreflect.FieldDescriptors) string {
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func kindOf(v any) string {
	switch v.(type) {
	case string:
		return "a string"
	case bool:
		return "true or false"
	case int64:
		return "a whole number"
	case float64:
		return "a number"
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}

func sortedKeys(tree map[string]any) []string {
	keys := make([]string, 0, len(tree))
	for k := range tree {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
