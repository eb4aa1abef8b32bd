package edge

import "time"

// Stages is where a request's time went, on the path of the reply that came last:
// what the answer waited for longest. They add up to the whole.
type Stages struct {
	// Plan is from reading the request to its first send.
	Plan time.Duration
	// Resend is from there to the send of the last reply: 0 for a first send.
	Resend time.Duration
	// Connect is the wait for a connection to its upstream.
	Connect time.Duration
	// Upstream is from writing to it until its answer is whole.
	Upstream time.Duration
	// Finish is the rest: waiting for parts that never came, and merging. It is
	// all of a request without a reply.
	Finish time.Duration
}

// stagesOf are the stages up to the last reply, that of send s, which came at
// repliedAt.
func stagesOf(r *Request, first, s *send, repliedAt time.Time) Stages {
	upstream := s.reply.Took
	return Stages{
		Plan:     first.sentAt.Sub(r.Received),
		Resend:   s.sentAt.Sub(first.sentAt),
		Connect:  max(0, repliedAt.Sub(s.sentAt)-upstream),
		Upstream: upstream,
	}
}

// finish closes the account of a request that took so long.
func (s *Stages) finish(took time.Duration) {
	s.Finish = max(0, took-s.Plan-s.Resend-s.Connect-s.Upstream)
}
