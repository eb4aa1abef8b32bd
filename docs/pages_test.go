package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/pb"
	"sycamorekeel.example/sycamorekeel/internal/refusal"
)

// page reads one page of the documentation.
func page(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// missing lists the names that do not stand in the page as code.
func missing(text string, names []string) []string {
	var out []string
	for _, n := range names {
		if !strings.Contains(text, "`"+n+"`") {
			out = append(out, n)
		}
	}
	return out
}

// Symptom: an operator finds a name in an alert, a settings error or a refusal
// and no page explains it.
// Sequence: the name is added to the code and the page is forgotten.
// Cause: nothing tied the two.
func TestNamesStandInThePages(t *testing.T) {
	operating := page(t, "OPERATIONS.md")
	interfaces := page(t, "INTERFACES.md")
	for _, c := range []struct {
		what  string
		page  string
		names []string
	}{
		{"settings", operating, fields((&pb.Settings{}).ProtoReflect().Descriptor())},
		{"edge settings", operating, fields((&pb.EdgeSettings{}).ProtoReflect().Descriptor())},
		{"deployment fields", operating, fields((&pb.EdgeDeployment{}).ProtoReflect().Descriptor())},
		{"contract fields", operating, fields((&pb.Document{}).ProtoReflect().Descriptor())},
		{"metrics", operating, metrics(t)},
		{"refusal reasons", operating, reasons()},
		{"refusal reasons", interfaces, reasons()},
		{"results", operating, results()},
		{"queue reasons", operating, queueReasons()},
	} {
		if len(c.names) == 0 {
			t.Errorf("%s: the code names none, so the check cannot fail", c.what)
		}
		if m := missing(c.page, c.names); len(m) > 0 {
			t.Errorf("%s without a word in the pages: %s", c.what, strings.Join(m, ", "))
		}
	}
}

// Symptom: a newcomer meets a package that the map in the README does not show.
// Sequence: the package is added and the map is forgotten.
// Cause: nothing tied the two.
func TestPackagesStandInTheReadme(t *testing.T) {
	readme := page(t, "../README.md")
	entries, err := os.ReadDir("../internal")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if !strings.Contains(readme, "`"+e.Name()+"`") && !strings.Contains(readme, "`internal/"+e.Name()+"`") {
			t.Errorf("%s is not in the README's map", e.Name())
		}
	}
}

// fields lists every field of a message and of those within it.
func fields(d protoreflect.MessageDescriptor) []string {
	var out []string
	for i := range d.Fields().Len() {
		f := d.Fields().Get(i)
		out = append(out, string(f.Name()))
		if f.Kind() == protoreflect.MessageKind {
			out = append(out, fields(f.Message())...)
		}
	}
	return out
}

func reasons() []string {
	var out []string
	for _, r := range refusal.All {
		out = append(out, string(r))
	}
	return out
}

func queueReasons() []string {
	var out []string
	for _, r := range dispatch.Reasons {
		out = append(out, string(r))
	}
	return out
}

func results() []string {
	var out []string
	values := pb.Result(0).Descriptor().Values()
	for i := 1; i < values.Len(); i++ {
		out = append(out, strings.ToLower(string(values.Get(i).Name())))
	}
	return out
}

var metricName = regexp.MustCompile(`"(sycamorekeel_[a-z0-9_]+)"`)

// metrics finds the metric names in the sources.
func metrics(t *testing.T) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir("../internal", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range metricName.FindAllStringSubmatch(string(data), -1) {
			if strings.HasSuffix(m[1], "_") {
				t.Errorf("%s: write metric names whole, %s is a part", path, m[1])
			}
			out = append(out, m[1])
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}
