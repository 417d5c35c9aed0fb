package message

// ClockRequest asks a node for the reading of its clock.
type ClockRequest struct {
	// SentAt is the reading of the sender's clock at the request.
	SentAt uint64
}

// Kind implements Message.
func (*ClockRequest) Kind() Kind        { return KindClockRequest }
func (m *ClockRequest) fields(c *codec) { c.uint64(&m.SentAt) }

// ClockAnswer is the answer to a ClockRequest.
type ClockAnswer struct {
	// RequestSentAt is the SentAt of the request.
	RequestSentAt uint64
	// At is the reading of the sender's clock at the answer.
	At uint64
}

// Kind implements Message.
func (*ClockAnswer) Kind() Kind { return KindClockAnswer }
func (m *ClockAnswer) fields(c *codec) {
	c.uint64(&m.RequestSentAt)
	c.uint64(&m.At)
}
