package stream

import "trefoilferry.example/ferry/api/ferrypb"

// maxServed bounds the records of one answer to a peer.
const maxServed = 500

// ReadStream answers a peer from memory. A reader whose offset precedes the kept tail gets a checkpoint that
// the kept records continue.
func (f *Follower) ReadStream(req *ferrypb.ReadStreamRequest) *ferrypb.ReadStreamResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.cfg.Fold.Offset()
	res := &ferrypb.ReadStreamResponse{Next: end + 1, AgeMillis: -1}
	if age := f.age(f.cfg.Now()); age >= 0 {
		res.AgeMillis = age.Milliseconds()
	}
	if req.From > end {
		return res
	}
	from := max(req.From, 1)
	if start := f.tail.start(end); from < start {
		res.Checkpoint = f.serveCheckpoint(start)
		from = res.Checkpoint.Covers + 1
	}
	limit := maxServed
	if req.Max > 0 {
		limit = min(limit, int(req.Max))
	}
	res.Records = f.tail.from(from, limit)
	return res
}

// serveCheckpoint returns a checkpoint that the tail from start on continues. The last one is kept until
// the tail has moved past it, so that many starting readers cost one copy of the state.
func (f *Follower) serveCheckpoint(start uint64) *ferrypb.Checkpoint {
	if f.served == nil || f.served.Covers+1 < start {
		f.served = f.checkpoint()
	}
	return f.served
}
