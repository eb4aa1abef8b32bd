package membership

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// digestBuckets is how many words the digest of a table has: members are
// compared bucket by bucket, so that two tables that differ in one member
// exchange a sixteenth of them.
const digestBuckets = 16

// record is what a node holds of one member. Incarnation 0 is a member that is
// listed and was never heard of.
type record struct {
	Member
	refutation uint64
	// suspectUntil ends a suspicion: the member is dead then.
	suspectUntil time.Time
	diedAt       time.Time
	// firstSeen is when gossip first named this incarnation.
	firstSeen time.Time
	// listed is the VM's entry on the platform's list, nil without one.
	listed *pb.VM
	// accused is a suspicion that this node raised itself.
	accused bool
	bucket  int
}

func newRecord(u *pb.MemberUpdate, now time.Time) *record {
	r := &record{Member: Member{VM: u.Vm}, firstSeen: now, bucket: bucketOf(u.Vm)}
	r.take(u)
	return r
}

// take copies what an update says. Updates without addresses leave them.
func (r *record) take(u *pb.MemberUpdate) {
	r.Incarnation = u.Incarnation
	r.refutation = u.Refutation
	r.Capacity = u.Capacity
	if u.PeerAddress == "" {
		return
	}
	r.Region = u.Region
	r.DataCentre = u.DataCentre
	r.Rack = u.Rack
	r.CallerAddress = u.CallerAddress
	r.PeerAddress = u.PeerAddress
}

// news is the record as spread on a change. Whoever it reaches knows the
// addresses of an incarnation that has refuted or is no longer alive, or gets
// them with the next difference of digests; a third of the bytes are left.
func (r *record) news() *pb.MemberUpdate {
	if r.refutation > 0 || r.State != pb.MemberState_ALIVE {
		return r.brief()
	}
	return r.difference()
}

// difference is the record as sent to those that may not know the member: the
// list has told them the addresses if they are as listed.
func (r *record) difference() *pb.MemberUpdate {
	if r.asListed() {
		return r.brief()
	}
	return r.update()
}

func (r *record) asListed() bool {
	vm := r.listed
	return vm != nil && r.PeerAddress == vm.PeerAddress && r.CallerAddress == vm.CallerAddress &&
		r.Region == vm.Region && r.DataCentre == vm.DataCentre && r.Rack == vm.Rack
}

// brief is the record without its addresses.
func (r *record) brief() *pb.MemberUpdate {
	return &pb.MemberUpdate{Vm: r.VM, Incarnation: r.Incarnation, Refutation: r.refutation, State: r.State, Capacity: r.Capacity}
}

// update is the record with its addresses, unless it is suspected or dead.
func (r *record) update() *pb.MemberUpdate {
	u := r.brief()
	if r.State == pb.MemberState_SUSPECT || r.State == pb.MemberState_DEAD {
		return u
	}
	u.Region = r.Region
	u.DataCentre = r.DataCentre
	u.Rack = r.Rack
	u.CallerAddress = r.CallerAddress
	u.PeerAddress = r.PeerAddress
	return u
}

// serves tells whether gossip holds the member alive.
func (r *record) serves() bool {
	return r.State == pb.MemberState_ALIVE || r.State == pb.MemberState_SUSPECT
}

// shown is the record as the view shows it: a VM that the platform's list calls
// leaving is leaving, whatever gossip says.
func (r *record) shown() Member {
	m := r.Member
	if r.listed != nil && r.listed.State == pb.VMState_VM_LEAVING && r.serves() {
		m.State = pb.MemberState_LEAVING
	}
	return m
}

// outranks tells whether an update is newer than the record: by incarnation,
// then by refutation, then by how grave the state is.
func outranks(incarnation, refutation uint64, state pb.MemberState, r *record) bool {
	if incarnation != r.Incarnation {
		return incarnation > r.Incarnation
	}
	if refutation != r.refutation {
		return refutation > r.refutation
	}
	return state > r.State
}

// hash is the record's part of the digest. Suspicions and deaths are left out:
// they end by themselves, at other moments on each node.
func (r *record) hash() uint32 {
	if r.Incarnation == 0 || r.State == pb.MemberState_DEAD {
		return 0
	}
	b := make([]byte, 0, 64)
	b = append(b, r.VM...)
	b = binary.LittleEndian.AppendUint64(b, r.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, r.refutation)
	if r.State == pb.MemberState_LEAVING {
		b = append(b, 1)
	}
	return uint32(xxhash.Sum64(b))
}

func bucketOf(vm string) int {
	return int(xxhash.Sum64String(vm) % digestBuckets)
}

// table holds the records by name and the digest of them all.
type table struct {
	records map[string]*record
	// sorted is ascending by name.
	sorted []*record
	digest [digestBuckets]uint32
}

func newTable() table {
	return table{records: map[string]*record{}}
}

func (t *table) get(vm string) *record { return t.records[vm] }

func (t *table) find(vm string) int {
	return sort.Search(len(t.sorted), func(i int) bool { return t.sorted[i].VM >= vm })
}

func (t *table) insert(r *record) {
	t.sorted = slices.Insert(t.sorted, t.find(r.VM), r)
	t.records[r.VM] = r
	t.digest[r.bucket] ^= r.hash()
}

func (t *table) remove(r *record) {
	i := t.find(r.VM)
	t.sorted = slices.Delete(t.sorted, i, i+1)
	delete(t.records, r.VM)
	t.digest[r.bucket] ^= r.hash()
}

// edit changes a record and keeps the digest right.
func (t *table) edit(r *record, change func()) {
	t.digest[r.bucket] ^= r.hash()
	change()
	t.digest[r.bucket] ^= r.hash()
}
