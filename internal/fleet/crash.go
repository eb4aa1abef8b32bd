package fleet

import (
	"slices"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// This package cannot simulate a paused process (stopped by the scheduler or a
// live migration and resumed with stale state), because all VMs share one process
// and clock. The packages that make decisions cover that case in their own tests.

// Kill simulates a crash of the daemon: it closes all connections at once without
// draining, and blocks all later traffic of the daemon.
func (v *VM) Kill() {
	v.tracker.kill()
	v.listeners.close()
	v.Daemon.AbortStop()
	v.cancel()
}

// Running reports whether the VM was neither stopped nor killed.
func (v *VM) Running() bool { return v.ctx.Err() == nil }

// Restart kills a VM, if it is still running, and starts a new process under its
// name. With the same addresses it may be back before its peers notice; new
// addresses are published in the platform's list of VMs.
func (f *Fleet) Restart(i int, sameAddresses bool) error {
	old := f.VMs[i]
	old.Kill()
	l, err := f.listenersFor(old, sameAddresses)
	if err != nil {
		return trace.Wrap(err)
	}
	if !sameAddresses {
		f.listeners[i] = l
		f.Publish("vms", f.listVMs())
	}
	vm, err := f.startVM(i, l)
	if err != nil {
		return trace.Wrap(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaced = append(f.replaced, old)
	f.VMs[i] = vm
	return nil
}

// Running returns the VMs that were neither stopped nor killed.
func (f *Fleet) Running() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*VM
	for _, vm := range f.VMs {
		if vm.Running() {
			out = append(out, vm)
		}
	}
	return out
}

// Processes returns every daemon started, including those replaced by Restart.
func (f *Fleet) Processes() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.VMs, f.replaced)
}

func (f *Fleet) listenersFor(old *VM, same bool) (vmListeners, error) {
	if !same {
		return f.listen()
	}
	return relisten(old.Settings)
}

// Cut blocks traffic from one VM to another and, if both is set, in the opposite
// direction: stream data is held until Heal, datagrams are lost. Traffic with
// callers, upstreams and the platform is not affected.
func (f *Fleet) Cut(from, to int, both bool) {
	f.network.setCut(direction{vmName(from), vmName(to)}, true)
	if both {
		f.network.setCut(direction{vmName(to), vmName(from)}, true)
	}
}

// Isolate cuts a VM off from every other VM in both directions.
func (f *Fleet) Isolate(vm int) {
	for i := range f.VMs {
		if i != vm {
			f.Cut(vm, i, true)
		}
	}
}

// Heal removes all cuts between VMs and delivers held stream data.
func (f *Fleet) Heal() { f.network.heal() }

// EditUpstream edits the behaviour of the upstream with the given "service/id".
func (f *Fleet) EditUpstream(id string, edit func(*standin.Behaviour)) {
	f.Upstreams[id].Change(edit)
}

// Document returns the published text of a document, with the addresses of the
// simulated upstreams.
func (f *Fleet) Document(name string) string { return f.documents[name] }

// Publish replaces a document on the platform and returns the new revision.
func (f *Fleet) Publish(name, text string) uint64 {
	f.documents[name] = text
	return f.Platform.Publish(name, []byte(text))
}
