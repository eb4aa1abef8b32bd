package edge

import "time"

// Stages divides the time of a request along the path of the reply that came last, because
// the answer waited for that reply longest. The stages add up to the total time.
type Stages struct {
	// Queued is the wait for a place under the limit of the query's shards.
	Queued time.Duration
	// Plan lasts from reading the request to its first send, without Queued.
	Plan time.Duration
	// Resend lasts from the first send to the send that got the last reply; 0 if they are
	// the same.
	Resend time.Duration
	// Connect is the wait for a connection to the upstream.
	Connect time.Duration
	// Upstream lasts from writing the request to the upstream until its answer is complete.
	Upstream time.Duration
	// Finish is the remaining time: waiting for parts that never came, and merging. It is
	// the total time of a request without a reply.
	Finish time.Duration
}

// stagesOf returns all stages but Finish; s is the send of the last reply, which came at
// repliedAt.
func stagesOf(r *Request, first, s *send, repliedAt time.Time) Stages {
	upstream := s.reply.Took
	return Stages{
		Queued:   r.queued,
		Plan:     first.sentAt.Sub(r.Received) - r.queued,
		Resend:   s.sentAt.Sub(first.sentAt),
		Connect:  max(0, repliedAt.Sub(s.sentAt)-upstream),
		Upstream: upstream,
	}
}

// finish sets Finish for a request whose total time is took.
func (s *Stages) finish(took time.Duration) {
	s.Finish = max(0, took-s.Queued-s.Plan-s.Resend-s.Connect-s.Upstream)
}
