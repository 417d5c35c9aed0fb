package message

import "stiletrail/internal/query"

// SubQuery is the part of a search that the root node sends to the dispatcher of one group of back ends.
type SubQuery struct {
	ID       query.ID
	Service  string
	Group    uint32
	Shards   []uint32
	Snapshot query.Snapshot
	Execute  bool
	Body     []byte
	// RemainingMicroseconds is the time left until the root's deadline when the frame was handed to the connection.
	RemainingMicroseconds uint64
}

// Kind implements Message.
func (*SubQuery) Kind() Kind { return KindSubQuery }
func (m *SubQuery) fields(c *codec) {
	c.fixed(&m.ID)
	c.string(&m.Service)
	c.uint32(&m.Group)
	list(c, &m.Shards, (*codec).uint32)
	c.fixed(&m.Snapshot)
	c.bool(&m.Execute)
	c.bytes(&m.Body)
	c.uint64(&m.RemainingMicroseconds)
}

// SubAnswer contains results of a sub-query as they arrive. Done is set in the last one.
type SubAnswer struct {
	ID       query.ID
	Snapshot query.Snapshot
	Results  []query.ShardDocuments
	Done     bool
	// Missing and the fields below are set only together with Done.
	Missing []query.Missing
	// NotRun is set if no part of the sub-query was executed on any back end.
	NotRun                 bool
	ShardAttempts          uint32
	RetryAfterMilliseconds uint32
}

// Kind implements Message.
func (*SubAnswer) Kind() Kind { return KindSubAnswer }
func (m *SubAnswer) fields(c *codec) {
	c.fixed(&m.ID)
	c.fixed(&m.Snapshot)
	list(c, &m.Results, walkShardDocuments)
	c.bool(&m.Done)
	list(c, &m.Missing, func(c *codec, missing *query.Missing) {
		c.uint32(&missing.Shard)
		c.uint8((*uint8)(&missing.Reason))
	})
	c.bool(&m.NotRun)
	c.uint32(&m.ShardAttempts)
	c.uint32(&m.RetryAfterMilliseconds)
}

func walkShardDocuments(c *codec, result *query.ShardDocuments) {
	c.uint32(&result.Shard)
	list(c, &result.Documents, func(c *codec, document *query.Document) {
		c.string(&document.Key)
		c.bytes(&document.Body)
	})
}

// SubCancel cancels a sub-query.
type SubCancel struct {
	ID query.ID
}

// Kind implements Message.
func (*SubCancel) Kind() Kind        { return KindSubCancel }
func (m *SubCancel) fields(c *codec) { c.fixed(&m.ID) }

// GroupRequest asks a dispatcher which shards the back ends of a group hold.
type GroupRequest struct {
	Service string
	Group   uint32
}

// Kind implements Message.
func (*GroupRequest) Kind() Kind { return KindGroupRequest }
func (m *GroupRequest) fields(c *codec) {
	c.string(&m.Service)
	c.uint32(&m.Group)
}

// GroupState is the answer to a GroupRequest. It contains one holding per back end that can take work.
type GroupState struct {
	Service string
	Group   uint32
	// CatalogVersion is the version of the service document from which the groups were computed.
	CatalogVersion uint64
	Holdings       []query.Holding
}

// Kind implements Message.
func (*GroupState) Kind() Kind { return KindGroupState }
func (m *GroupState) fields(c *codec) {
	c.string(&m.Service)
	c.uint32(&m.Group)
	c.uint64(&m.CatalogVersion)
	list(c, &m.Holdings, func(c *codec, holding *query.Holding) {
		c.uint8((*uint8)(&holding.State))
		c.uint64(&holding.Epoch)
		c.uint32(&holding.ShardsTotal)
		list(c, &holding.Shards, (*codec).uint32)
		c.uint64(&holding.OldestVersion)
		c.uint64(&holding.NewestVersion)
	})
}

// ForwardExecute forwards a request that is not repeatable to the node that issued its ticket.
type ForwardExecute struct {
	Sequence              uint64
	Service               string
	Key                   string
	Body                  []byte
	Ticket                []byte
	RemainingMicroseconds uint64
}

// Kind implements Message.
func (*ForwardExecute) Kind() Kind { return KindForwardExecute }
func (m *ForwardExecute) fields(c *codec) {
	c.uint64(&m.Sequence)
	c.string(&m.Service)
	c.string(&m.Key)
	c.bytes(&m.Body)
	c.bytes(&m.Ticket)
	c.uint64(&m.RemainingMicroseconds)
}

// ForwardReply is the answer to a ForwardExecute. An empty Code means success.
type ForwardReply struct {
	Sequence               uint64
	Code                   string
	NotRun                 bool
	Text                   string
	RetryAfterMilliseconds uint32
	Shard                  uint32
	Result                 []byte
}

// Kind implements Message.
func (*ForwardReply) Kind() Kind { return KindForwardReply }
func (m *ForwardReply) fields(c *codec) {
	c.uint64(&m.Sequence)
	c.string(&m.Code)
	c.bool(&m.NotRun)
	c.string(&m.Text)
	c.uint32(&m.RetryAfterMilliseconds)
	c.uint32(&m.Shard)
	c.bytes(&m.Result)
}
