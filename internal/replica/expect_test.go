package replica

import "testing"

// Guards against hedges that are considered again long before or after their copy may have
// become free.
func TestNextAnswerFollowsDistance(t *testing.T) {
	f := newFixture()
	f.warm()
	if next := f.table.NextAnswer(f.now, "k", assumed, f.replicas[1]); next < 50*ms || next > 58*ms {
		t.Errorf("a far copy is expected to answer after %v", next)
	}
	if next := f.table.NextAnswer(f.now, "k", assumed, f.replicas[0]); next < 20*ms || next > 35*ms {
		t.Errorf("a near copy is expected to answer after %v", next)
	}
}
