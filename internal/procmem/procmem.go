// Package procmem reads the memory of processes from the kernel. Tests and the soak watch daemons
// with it.
package procmem

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Peak returns the most resident memory in bytes that a running process has had, 0 if it is not
// known.
func Peak(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				return 0
			}
			return kilobytes << 10
		}
	}
	return 0
}
