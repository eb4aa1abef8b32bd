// Package tomlpb decodes TOML strictly into generated protobuf messages. TOML
// keys are the field names of the schema. An unknown key, a wrong type or a value
// out of range is reported as a finding with its line.
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

// MaxBytes limits the size of the input. It equals the platform's limit for a
// value.
const MaxBytes = 1 << 20

// MaxFindings limits the number of findings of one input, maxTextBytes the length
// of the field and of the message of each. Every daemon keeps the findings of a
// rejected document, so they must not grow with the input.
const (
	MaxFindings  = 200
	maxTextBytes = 300
)

// Source is a decoded input with the line of each field. It collects findings.
type Source struct {
	name     string
	lines    map[string]int
	findings finding.List
	// omitted is the number of findings beyond MaxFindings.
	omitted int
}

// Decode fills msg from data; name is the file name in the findings. The returned
// source is never nil. msg is valid only if the source has no findings.
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
	s.decodeTable("", tree, msg.ProtoReflect())
	return s
}

// NewSource returns a source for an input that Decode accepted before. Findings
// added to it get their lines from data.
func NewSource(name string, data []byte) *Source {
	return &Source{name: name, lines: indexLines(data)}
}

// Addf adds a finding on a field. It also serves checks after decoding.
func (s *Source) Addf(field, format string, args ...any) {
	s.add(finding.Finding{Line: s.line(field), Field: field, Message: fmt.Sprintf(format, args...)})
}

func (s *Source) add(f finding.Finding) {
	if len(s.findings) >= MaxFindings {
		s.omitted++
		return
	}
	f.File = s.name
	f.Field = truncate(f.Field)
	f.Message = truncate(f.Message)
	s.findings = append(s.findings, f)
}

func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

// Findings returns the findings so far, sorted by line. If some were omitted, a
// last finding gives their number.
func (s *Source) Findings() finding.List {
	sort.SliceStable(s.findings, func(i, j int) bool {
		return s.findings[i].Line < s.findings[j].Line
	})
	if s.omitted == 0 {
		return s.findings
	}
	rest := finding.Finding{File: s.name, Message: fmt.Sprintf("and %d more findings", s.omitted)}
	return append(s.findings[:len(s.findings):len(s.findings)], rest)
}

// Has reports whether the input contains the field.
func (s *Source) Has(field string) bool {
	_, ok := s.lines[field]
	return ok
}

// line returns the line of the field or, if the input does not contain it, of
// the nearest enclosing table; 0 if there is none.
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

func (s *Source) decodeTable(path string, tree map[string]any, msg protoreflect.Message) {
	fields := msg.Descriptor().Fields()
	for _, key := range sortedKeys(tree) {
		field := joinPath(path, key)
		fd := fields.ByName(protoreflect.Name(key))
		if fd == nil {
			s.Addf(field, "unknown setting; known here: %s", fieldNames(fields))
			continue
		}
		s.decodeField(field, tree[key], msg, fd)
	}
}

func (s *Source) decodeField(field string, v any, msg protoreflect.Message, fd protoreflect.FieldDescriptor) {
	if fd.IsList() {
		s.decodeList(field, v, msg.Mutable(fd).List(), fd)
		return
	}
	if fd.Kind() == protoreflect.MessageKind {
		s.decodeMessage(field, v, msg.Mutable(fd).Message())
		return
	}
	if value, ok := s.decodeScalar(field, v, fd); ok {
		msg.Set(fd, value)
	}
}

func (s *Source) decodeList(field string, v any, list protoreflect.List, fd protoreflect.FieldDescriptor) {
	items, ok := v.([]any)
	if !ok {
		s.Addf(field, "must be a list, not %s", typeName(v))
		return
	}
	for i, item := range items {
		element := fmt.Sprintf("%s[%d]", field, i)
		if fd.Kind() == protoreflect.MessageKind {
			s.decodeMessage(element, item, list.AppendMutable().Message())
			continue
		}
		if value, ok := s.decodeScalar(element, item, fd); ok {
			list.Append(value)
		}
	}
}

func (s *Source) decodeMessage(field string, v any, msg protoreflect.Message) {
	tree, ok := v.(map[string]any)
	if !ok {
		s.Addf(field, "must be a table, not %s", typeName(v))
		return
	}
	s.decodeTable(field, tree, msg)
}

func (s *Source) decodeScalar(field string, v any, fd protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	switch fd.Kind() {
	case protoreflect.StringKind:
		if text, ok := v.(string); ok {
			return protoreflect.ValueOfString(text), true
		}
		return s.addTypeError(field, "a string", v)
	case protoreflect.BoolKind:
		if b, ok := v.(bool); ok {
			return protoreflect.ValueOfBool(b), true
		}
		return s.addTypeError(field, "true or false", v)
	case protoreflect.DoubleKind:
		return s.decodeNumber(field, v)
	case protoreflect.Uint32Kind:
		n, ok := s.decodeInteger(field, v, math.MaxUint32)
		return protoreflect.ValueOfUint32(uint32(n)), ok
	case protoreflect.Uint64Kind:
		n, ok := s.decodeInteger(field, v, math.MaxInt64)
		return protoreflect.ValueOfUint64(uint64(n)), ok
	case protoreflect.EnumKind:
		return s.decodeEnum(field, v, fd.Enum().Values())
	default:
		s.Addf(field, "cannot be set from TOML")
		return protoreflect.Value{}, false
	}
}

// addTypeError adds a finding on a value of the wrong type. Its results are those
// of a failed conversion.
func (s *Source) addTypeError(field, want string, v any) (protoreflect.Value, bool) {
	s.Addf(field, "must be %s, not %s", want, typeName(v))
	return protoreflect.Value{}, false
}

func (s *Source) decodeNumber(field string, v any) (protoreflect.Value, bool) {
	switch n := v.(type) {
	case float64:
		if math.IsNaN(n) || math.IsInf(n, 0) {
			s.Addf(field, "must be a finite number")
			return protoreflect.Value{}, false
		}
		return protoreflect.ValueOfFloat64(n), true
	case int64:
		return protoreflect.ValueOfFloat64(float64(n)), true
	}
	return s.addTypeError(field, "a number", v)
}

func (s *Source) decodeInteger(field string, v any, max int64) (int64, bool) {
	n, ok := v.(int64)
	if !ok {
		s.Addf(field, "must be a whole number, not %s", typeName(v))
		return 0, false
	}
	if n < 0 || n > max {
		s.Addf(field, "must be from 0 to %d, not %d", max, n)
		return 0, false
	}
	return n, true
}

// decodeEnum accepts the lower-case name of any value but the first, which is the
// unspecified one.
func (s *Source) decodeEnum(field string, v any, values protoreflect.EnumValueDescriptors) (protoreflect.Value, bool) {
	text, ok := v.(string)
	if !ok {
		return s.addTypeError(field, "a string", v)
	}
	var allowed []string
	for i := 1; i < values.Len(); i++ {
		name := strings.ToLower(string(values.Get(i).Name()))
		if name == text {
			return protoreflect.ValueOfEnum(values.Get(i).Number()), true
		}
		allowed = append(allowed, name)
	}
	s.Addf(field, "must be one of %s, not %q", strings.Join(allowed, ", "), text)
	return protoreflect.Value{}, false
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func fieldNames(fields protoreflect.FieldDescriptors) string {
	names := make([]string, fields.Len())
	for i := range names {
		names[i] = string(fields.Get(i).Name())
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func typeName(v any) string {
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
