package query

import "time"

// shardTimer is a timer of one shard; at is the time since the start of the query.
type shardTimer struct {
	at    time.Duration
	shard int
}

// shardTimers is a min-heap of timers. A shard has one valid timer at a time, the one
// in shardState.timerAt. Replacing it leaves the old entry in the heap, which is
// dropped when it reaches the top.
type shardTimers []shardTimer

func (h *shardTimers) push(t shardTimer) {
	list := append(*h, t)
	i := len(list) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if list[parent].at <= list[i].at {
			break
		}
		list[parent], list[i] = list[i], list[parent]
		i = parent
	}
	*h = list
}

func (h *shardTimers) pop() {
	list := *h
	last := len(list) - 1
	list[0] = list[last]
	list = list[:last]
	i := 0
	for {
		least := 2*i + 1
		if least >= last {
			break
		}
		if least+1 < last && list[least+1].at < list[least].at {
			least++
		}
		if list[i].at <= list[least].at {
			break
		}
		list[i], list[least] = list[least], list[i]
		i = least
	}
	*h = list
}
