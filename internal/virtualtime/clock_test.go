package virtualtime

import (
	"slices"
	"testing"
	"time"
)

// Guards against models that do not repeat: events of one time in any order, or one of the
// past that moves the time back.
func TestEventsHappenInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	c := New(start)
	var got []string
	note := func(name string) func() { return func() { got = append(got, name) } }
	c.After(2*time.Second, note("last"))
	c.After(time.Second, func() {
		got = append(got, "first")
		c.At(start, func() {
			if c.Now().Before(start.Add(time.Second)) {
				t.Errorf("the time went back to %v", c.Now())
			}
			got = append(got, "of the past")
		})
	})
	c.After(time.Second, note("second"))
	c.Run()
	if want := []string{"first", "second", "of the past", "last"}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}
