package membudget

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// OfProcess returns what this process may use: memory as configured in bytes, or, if that is 0, by
// GOMEMLIMIT of the environment, or else that of the machine.
func OfProcess(configured int64) Budget {
	b := Budget{Memory: configured, Descriptors: descriptorLimit()}
	limit := debug.SetMemoryLimit(-1)
	switch {
	case b.Memory > 0:
	case limit != math.MaxInt64:
		b.Memory = int64(float64(limit) / HeapShare)
	default:
		b.Memory = machineMemory()
	}
	return b
}

// LimitHeap makes the runtime keep to the memory, unless the environment has told it a limit.
func (b Budget) LimitHeap() {
	if b.Memory > 0 && debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(HeapShare * float64(b.Memory)))
	}
}

// machineMemory returns the memory of the machine in bytes, 0 if it is not known.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit))
}

// descriptorLimit returns how many descriptors the process may open, 0 if it is not known.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
