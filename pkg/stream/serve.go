package stream

import "trefoilferry.example/ferry/api/ferrypb"

// maxResponseRecords limits the records in one response to a peer.
const maxResponseRecords = 500

// ReadStream responds to a peer from memory. If the requested offset precedes the kept records, the response contains a
// checkpoint and the records that follow it.
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
		res.Checkpoint = f.checkpointBefore(start)
		from = res.Checkpoint.Covers + 1
	}
	limit := maxResponseRecords
	if req.Max > 0 {
		limit = min(limit, int(req.Max))
	}
	res.Records = f.tail.from(from, limit)
	return res
}

// checkpointBefore returns a checkpoint that the kept records from start on continue. The checkpoint is reused until
// the kept records no longer connect to it, so that many starting readers cost one copy of the state.
func (f *Follower) checkpointBefore(start uint64) *ferrypb.Checkpoint {
	if f.peerCheckpoint == nil || f.peerCheckpoint.Covers+1 < start {
		f.peerCheckpoint = f.checkpoint()
	}
	return f.peerCheckpoint
}
