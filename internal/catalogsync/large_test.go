package catalogsync

import (
	"strings"
	"testing"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/catalog"
)

// watching returns a reader with an open watch.
func watching(t *testing.T) (*Follower, time.Time) {
	t.Helper()
	f, now := reader()
	now = now.Add(bound / 4)
	if got := describeActions(f.Tick(now)); got != "watch>10" {
		t.Fatalf("starts with %q", got)
	}
	return f, now
}

// Guards against a reader that repeats a watch whose answer is too large, counts it as an outage of the
// store, and goes on with a former configuration meanwhile.
func TestWatchThatIsTooLargeIsReplacedByAListing(t *testing.T) {
	f, now := watching(t)
	if got := describeActions(f.ReadTooLarge(now)); got != "list configuration" {
		t.Errorf("%q", got)
	}
	if got := describeActions(f.Listed(now.Add(time.Second), at(20), []catalog.Item{put("u2", 15)})); got != "announce changed watch>20" {
		t.Errorf("after the listing: %q", got)
	}
	// u1 was removed while the store worked, so there is no period of grace for it.
	if f.State().View().Upstreams["u1"] != nil {
		t.Error("an upstream that was removed is still in use")
	}
}

// Guards against a change of the configuration that waits for the end of a large answer.
func TestConfigurationIsReadAloneWhileAnAnswerIsLarge(t *testing.T) {
	f, now := watching(t)
	if got := describeActions(f.ReadLarge(now)); got != "configuration" {
		t.Fatalf("%q", got)
	}
	f.ConfigurationFailed(now)
	reads := 0
	var last time.Time
	for end := now.Add(3 * bound); now.Before(end); now = now.Add(50 * time.Millisecond) {
		if got := describeActions(f.Tick(now)); strings.Contains(got, "configuration") {
			reads++
			last = now
			f.ConfigurationFailed(now)
		}
		if !last.IsZero() && now.Sub(last) > bound/2 {
			t.Fatalf("no read for %v", now.Sub(last))
		}
	}
	if most := 3*int(1/configurationShare) + 1; reads < 6 || reads > most {
		t.Errorf("%d reads within three times the bound", reads)
	}
	f.Watched(now, at(10), at(10), nil)
	f.ConfigurationRead(now, catalog.Item{})
	for end := now.Add(bound); now.Before(end); now = now.Add(50 * time.Millisecond) {
		if got := describeActions(f.Tick(now)); strings.Contains(got, "configuration") {
			t.Fatal("the configuration is read alone after the large answer has ended")
		}
	}
}

// Guards against a listing that fails for its size and is repeated without a pause.
func TestListingThatIsTooLargeIsDelayed(t *testing.T) {
	f, now := watching(t)
	f.ReadTooLarge(now)
	lists := 0
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		got := describeActions(f.Tick(now))
		if strings.Contains(got, "configuration") {
			f.ConfigurationFailed(now)
		}
		if strings.Contains(got, "list") {
			lists++
		}
		if f.readOpen {
			got = describeActions(f.ReadTooLarge(now))
			if strings.Contains(got, "list") {
				t.Fatal("listed again at once")
			}
		}
	}
	if lists == 0 || lists > 20 {
		t.Errorf("%d listings within 10 s", lists)
	}
}

// Guards against a fleet that reads a large listing on all VMs at once, when the readers cannot confirm
// in time.
func TestOnlyReadersReadALargeAnswerAtOnce(t *testing.T) {
	f := newFollower(start, "a", "r", false)
	f.state.Replace(start, at(10), []catalog.Item{put("u1", 5)})
	for i := range 5 {
		f.SetPeers([]Peer{{VM: "b", Region: "r"}, {VM: "c", Region: "q"}, {VM: strings.Repeat("d", i), Region: "r"}})
		if f.rank > 0 {
			break
		}
	}
	now := start.Add(5 * time.Second)
	if f.Elected(now) {
		t.Fatal("the VM is elected")
	}
	got := describeActions(f.Tick(now))
	if got != "list" {
		t.Fatalf("without a confirmation: %q", got)
	}
	f.ReadLarge(now)
	if f.ReadsLarge(now) {
		t.Fatal("a VM that is not elected reads on")
	}
	if got := describeActions(f.ReadTooLarge(now)); got != "" {
		t.Errorf("%q, want a pause", got)
	}
	now = now.Add(time.Duration(f.rank)*fullListingStep + maxRetryDelay + time.Second)
	if got := describeActions(f.Tick(now)); !strings.Contains(got, "list") {
		t.Errorf("later: %q", got)
	}
	f.ReadLarge(now)
	if !f.ReadsLarge(now) {
		t.Error("its turn has come, and it does not read on")
	}
}

// Guards against a fleet that reads a large listing on all VMs at once when it starts, and against a VM that
// waits for others which it does not know.
func TestLargeListingsOfAStartingFleetAreSpread(t *testing.T) {
	alone := newFollower(start, "a", "r", false)
	alone.ReadLarge(start)
	if !alone.ReadsLarge(start) {
		t.Error("a VM that knows no other does not read on")
	}
	first := map[time.Duration]int{}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		f := newFollower(start, name, "r", false)
		var peers []Peer
		for _, other := range []string{"a", "b", "c", "d", "e"} {
			if other != name {
				peers = append(peers, Peer{VM: other, Region: "r"})
			}
		}
		f.SetPeers(peers)
		f.ReadLarge(start)
		for wait := time.Duration(0); ; wait += fullListingStep {
			if f.ReadsLarge(start.Add(wait)) {
				first[wait]++
				break
			}
		}
	}
	if len(first) != 5 {
		t.Errorf("VMs by the time from which they read on: %v", first)
	}
}

// Guards against pulling a page again that was too large for this VM.
func TestPageThatIsTooLargeIsNotPulledAgain(t *testing.T) {
	f, now := behind(t)
	list := describeActions(f.PullTooLarge(now, f.lastPullID))
	for end := now.Add(tooLargePullDelay - time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		f.PeerAnnounced(now, Peer{VM: "b", Region: "r", Address: "b"}, at(20), 0)
		got := describeActions(f.Tick(now))
		if strings.Contains(got, "pull") {
			t.Fatal("pulled again")
		}
		list += got
	}
	if !strings.Contains(list, "list") {
		t.Errorf("%q, want a listing of the store", list)
	}
}
