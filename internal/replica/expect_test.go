package replica

import (
	"testing"
	"time"
)

// Guards against hedges to copies that answer later than the open send, and against hedges that
// are never made because a send that hangs counts as one that is about to be answered.
func TestExpectationsOfOpenSends(t *testing.T) {
	f := newFixture()
	f.warm()
	near, far := f.replicas[0], f.replicas[1]
	if answer, next := f.table.Expect(f.now, "k", assumed, far, 0); answer < 50*ms || answer > 58*ms || next < 50*ms || next > 58*ms {
		t.Errorf("an idle far copy is expected to answer after %v, and then each %v", answer, next)
	}
	if answer, _ := f.table.Expect(f.now, "k", assumed, far, 2); answer < 150*ms {
		t.Errorf("after two answers that are waited for, it is expected to answer after %v", answer)
	}
	f.table.Sent(f.now, "k", assumed, near, 1000, noWait)
	sentAt := f.now
	for _, c := range []struct{ age, least, most int }{{10, 15, 25}, {40, 40, 40}, {100, 200, 200}, {400, 400, 400}} {
		f.now = sentAt.Add(ms * time.Duration(c.age))
		if left := f.table.Remaining(f.now, "k", assumed, near, 1000, false, 0); left < ms*time.Duration(c.least) || left > ms*time.Duration(c.most) {
			t.Errorf("after %d ms a near send is expected to take %v more, want %d to %d ms", c.age, left, c.least, c.most)
		}
	}
	if left := f.table.Remaining(f.now, "k", assumed, near, 1001, false, 0); left < 10_000*ms {
		t.Errorf("a send to a former process is expected to take %v more", left)
	}
	// A send that waits for a connection counts as one that is still to be made, however short
	// the time between its choice and its wait was.
	f.table.Sent(f.now, "k", assumed, near, 1002, noWait)
	f.now = f.now.Add(time.Microsecond)
	if left := f.table.Remaining(f.now, "k", assumed, near, 1002, true, 3); left < 60*ms {
		t.Errorf("a send behind three answers is expected to take %v more", left)
	}
}
