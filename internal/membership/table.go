package membership

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// digestBuckets is the number of hash values in a table's digest. Nodes compare
// their tables bucket by bucket, so two tables that differ in one member exchange
// one sixteenth of the members.
const digestBuckets = 16

// record is the state of one member. Incarnation 0 marks a member that is listed
// but has not been seen in gossip.
type record struct {
	Member
	refutation uint64
	// suspectUntil is when a suspected member is declared dead.
	suspectUntil time.Time
	diedAt       time.Time
	// firstSeen is when gossip first named this incarnation.
	firstSeen time.Time
	// listed is the VM's entry on the platform's list, or nil.
	listed *pb.VM
	// suspectedBySelf marks a suspicion raised by this node's own probe.
	suspectedBySelf bool
	bucket          int
}

func newRecord(u *pb.MemberUpdate, now time.Time) *record {
	r := &record{Member: Member{VM: u.Vm}, firstSeen: now, bucket: bucketOf(u.Vm)}
	r.apply(u)
	return r
}

// apply copies the fields of an update. An update without addresses leaves the
// addresses as they are.
func (r *record) apply(u *pb.MemberUpdate) {
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

// changeUpdate returns the update that disseminates a change. It omits the
// addresses if the incarnation has refuted a suspicion or is no longer alive:
// receivers know them already or get them with the next digest sync. That reduces
// the update to a third of its size.
func (r *record) changeUpdate() *pb.MemberUpdate {
	if r.refutation > 0 || r.State != pb.MemberState_ALIVE {
		return r.compactUpdate()
	}
	return r.syncUpdate()
}

// syncUpdate returns the update for nodes that may not know the member. It omits
// the addresses if they match the platform's list, which those nodes have.
func (r *record) syncUpdate() *pb.MemberUpdate {
	if r.matchesList() {
		return r.compactUpdate()
	}
	return r.fullUpdate()
}

func (r *record) matchesList() bool {
	vm := r.listed
	return vm != nil && r.PeerAddress == vm.PeerAddress && r.CallerAddress == vm.CallerAddress &&
		r.Region == vm.Region && r.DataCentre == vm.DataCentre && r.Rack == vm.Rack
}

// compactUpdate returns the update without addresses.
func (r *record) compactUpdate() *pb.MemberUpdate {
	return &pb.MemberUpdate{Vm: r.VM, Incarnation: r.Incarnation, Refutation: r.refutation, State: r.State, Capacity: r.Capacity}
}

// fullUpdate returns the update with addresses, which suspected and dead members
// omit.
func (r *record) fullUpdate() *pb.MemberUpdate {
	u := r.compactUpdate()
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

// serves reports whether the member is alive or suspected according to gossip.
func (r *record) serves() bool {
	return r.State == pb.MemberState_ALIVE || r.State == pb.MemberState_SUSPECT
}

// viewMember returns the member as shown in views. A VM that the platform lists as
// leaving is leaving, whatever state gossip gives it.
func (r *record) viewMember() Member {
	m := r.Member
	if r.listed != nil && r.listed.State == pb.VMState_VM_LEAVING && r.serves() {
		m.State = pb.MemberState_LEAVING
	}
	return m
}

// outranks reports whether an update is newer than the record: by incarnation, then
// by refutation, then by severity of the state.
func outranks(incarnation, refutation uint64, state pb.MemberState, r *record) bool {
	if incarnation != r.Incarnation {
		return incarnation > r.Incarnation
	}
	if refutation != r.refutation {
		return refutation > r.refutation
	}
	return state > r.State
}

// hash returns the record's contribution to the digest. Suspicions and deaths are
// excluded because they expire at different times on each node.
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

// table holds the records by name and their digest.
type table struct {
	records map[string]*record
	// sorted is in ascending order of VM name.
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

// edit changes a record and updates the digest.
func (t *table) edit(r *record, change func()) {
	t.digest[r.bucket] ^= r.hash()
	change()
	t.digest[r.bucket] ^= r.hash()
}
