package daemon

import (
	"strings"
	"time"

	"sycamorekeel.example/sycamorekeel/internal/contract"
	"sycamorekeel.example/sycamorekeel/internal/dispatch"
	"sycamorekeel.example/sycamorekeel/internal/operatorapi"
	"sycamorekeel.example/sycamorekeel/internal/pb"
)

// Snapshot returns the configuration in force.
func (d *Daemon) Snapshot() *contract.Snapshot {
	return d.snapshot.Load()
}

// NotReady returns the reason why this VM cannot serve requests, or "" if it can.
func (d *Daemon) NotReady() string {
	if d.stopping.Load() {
		return "this VM is stopping"
	}
	if d.gossip.Revalidating(time.Now()) {
		return "this process was paused and has not heard from its peers since"
	}
	if why := d.config.notReady(); why != "" {
		return why
	}
	return d.shares.notReady()
}

// Stopping reports whether this VM refuses new requests because it is stopping.
func (d *Daemon) Stopping() bool {
	return d.stopping.Load()
}

// CallerAddress returns the address at which callers reach this VM.
func (d *Daemon) CallerAddress() string {
	return d.settings.CallerAddress
}

// Status returns the state of this VM for the operator API.
func (d *Daemon) Status() operatorapi.Status {
	snap := d.snapshot.Load()
	why := d.NotReady()
	st := operatorapi.Status{
		VM:          d.settings.Vm,
		Incarnation: d.incarnation,
		DataCentre:  d.settings.DataCentre,
		Region:      d.settings.Region,
		Ready:       why == "",
		NotReady:    why,
		Revision:    snap.Revision,
		Conflicts:   snap.Conflicts,
		Owned:       d.table.Load().Owned(d.settings.Vm),
	}
	d.config.fillStatus(&st)
	for _, m := range d.view.Load().Members {
		st.Members = append(st.Members, operatorapi.Member{
			VM:         m.VM,
			State:      strings.ToLower(m.State.String()),
			DataCentre: m.DataCentre,
		})
	}
	return st
}

// receiver handles the frames that peers send back on the streams that this VM
// opened, and the frames that were lost with such a stream. It implements
// peer.Receiver.
type receiver Daemon

func (r *receiver) Frame(_ string, f *pb.Frame) {
	switch b := f.Body.(type) {
	case *pb.Frame_Reply:
		r.engine.Deliver(b.Reply)
	case *pb.Frame_Status:
		(*Daemon)(r).updateStatus(b.Status)
	case *pb.Frame_ForwardReply:
		r.forwarder.handleReply(b.ForwardReply)
	case *pb.Frame_ConfigDocuments:
		r.config.handlePullReply(b.ConfigDocuments)
	}
}

func (r *receiver) Lost(_ string, f *pb.Frame, written bool) {
	if b, ok := f.Body.(*pb.Frame_Forward); ok {
		r.forwarder.handleLost(b.Forward, written)
		return
	}
	if pull := f.GetConfigPull(); pull != nil {
		r.config.handlePullLost(pull.Id)
		return
	}
	req := f.GetRequest()
	if req == nil {
		return
	}
	result := pb.Result_OWNER_UNREACHABLE
	if written {
		result = pb.Result_UNKNOWN
	}
	r.engine.Deliver(&pb.SubReply{Id: req.Id, Result: result})
}

// peerHandler handles the frames of peers that opened a stream to this VM. It
// implements peer.Handler.
type peerHandler Daemon

func (h *peerHandler) Frame(from *pb.Hello, f *pb.Frame, reply func(*pb.Frame)) {
	switch b := f.Body.(type) {
	case *pb.Frame_Request:
		h.owner.Submit(requestKey(from, b.Request.Id), b.Request, func(r *pb.SubReply) {
			reply(&pb.Frame{Body: &pb.Frame_Reply{Reply: r}})
		})
	case *pb.Frame_Forward:
		h.forwarder.handleRequest(b.Forward, reply)
	case *pb.Frame_ConfigPull:
		h.config.handlePull(from, b.ConfigPull, reply)
	case *pb.Frame_ConfigDocuments:
		h.config.handlePush(from, b.ConfigDocuments)
	case *pb.Frame_Cancel:
		h.owner.Cancel(requestKey(from, b.Cancel.Id), b.Cancel.Upstream)
	case *pb.Frame_ShareLoan:
		h.shares.handleLoan(from, b.ShareLoan)
	case *pb.Frame_ShareAck:
		h.shares.handleAck(from, b.ShareAck)
	}
}

func (h *peerHandler) Opened(from *pb.Hello, reply func(*pb.Frame)) {
	h.status.subscribe(from, reply)
}

func (h *peerHandler) Closed(from *pb.Hello) {
	h.status.unsubscribe(from)
}

func requestKey(from *pb.Hello, id uint64) dispatch.Key {
	return dispatch.Key{VM: from.Vm, Incarnation: from.Incarnation, ID: id}
}
