package query

import "time"

// alarm is a shard's turn to be looked at.
type alarm struct {
	at    time.Duration
	shard int
}

// alarms is a heap of the shards' turns. A shard has one turn at a time; one
// that was put off leaves its former alarm behind, which is dropped when it
// comes up.
type alarms []alarm

func (h *alarms) push(a alarm) {
	list := append(*h, a)
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

func (h *alarms) pop() {
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
