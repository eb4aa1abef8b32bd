package fleet

import (
	"slices"

	"github.com/gravitational/trace"

	"sycamorekeel.example/sycamorekeel/internal/standin"
)

// A paused process (stopped by the scheduler or a live migration, waking later
// with old views) cannot be made here: every VM shares one process and clock.
// Decision packages are given that case by their own tests.

// Kill ends a daemon as a crash does: nothing is drained, every connection is
// cut at once and nothing more of it reaches anyone.
func (v *VM) Kill() {
	v.wire.kill()
	v.listeners.close()
	v.Daemon.Halt()
	v.cancel()
}

// Running tells whether the VM was neither stopped nor killed.
func (v *VM) Running() bool { return v.ctx.Err() == nil }

// Restart starts a new process under the name of a VM that was stopped or
// killed. With the same addresses it may come back before others have noticed;
// with new ones the platform's list names them.
func (f *Fleet) Restart(i int, sameAddresses bool) error {
	old := f.VMs[i]
	old.Kill()
	l, err := f.listenersFor(old, sameAddresses)
	if err != nil {
		return trace.Wrap(err)
	}
	if !sameAddresses {
		f.addresses[i] = l
		f.Publish("vms", f.listVMs())
	}
	vm, err := f.startVM(i, l)
	if err != nil {
		return trace.Wrap(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired = append(f.retired, old)
	f.VMs[i] = vm
	return nil
}

// Running is the VMs that were neither stopped nor killed.
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

// Processes is every daemon that ran, those that a restart replaced included.
func (f *Fleet) Processes() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.VMs, f.retired)
}

func (f *Fleet) listenersFor(old *VM, same bool) (vmListeners, error) {
	if !same {
		return f.listen()
	}
	return relisten(old.Settings)
}

// Cut stops the packets from one VM to another, and with both the way back too.
// Callers, upstreams and the platform still reach each of them.
func (f *Fleet) Cut(from, to int, both bool) {
	f.network.set(direction{vmName(from), vmName(to)}, true)
	if both {
		f.network.set(direction{vmName(to), vmName(from)}, true)
	}
}

// Isolate cuts a VM off from every other one.
func (f *Fleet) Isolate(vm int) {
	for i := range f.VMs {
		if i != vm {
			f.Cut(vm, i, true)
		}
	}
}

// Heal ends every cut.
func (f *Fleet) Heal() { f.network.heal() }

// Change edits the behaviour of an upstream named "service/id".
func (f *Fleet) Change(id string, edit func(*standin.Behaviour)) {
	f.Upstreams[id].Change(edit)
}

// Document is the published text of a document, with the stand-ins' addresses.
func (f *Fleet) Document(name string) string { return f.documents[name] }

// Publish replaces a document and returns its revision.
func (f *Fleet) Publish(name, text string) uint64 {
	f.documents[name] = text
	return f.Platform.Publish(name, []byte(text))
}
