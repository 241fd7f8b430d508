// Package stamps finds replies that are doubtful because of their stamps. Such a reply does
// not certainly belong to its attempt, so it counts as lost: it is neither passed on nor a part
// of a gathered response.
//
// # Usage
//
//	stamps.Check(l, attempt)   // before the result of the attempt is used
package stamps

import (
	"github.com/lagoontrail/lagoon"
	"github.com/lagoontrail/lagoon/internal/direct/loop"
	"github.com/lagoontrail/lagoon/internal/direct/reqs"
	"github.com/lagoontrail/lagoon/internal/direct/shards"
	"github.com/lagoontrail/lagoon/internal/direct/tries"
)

// Check makes the result of an attempt unknown if its reply has no stamp of its own: it has
// not exactly one, or another shard of the request has a reply with the same. That shard then
// counts as missing, as nobody knows which of the two the stamp was given to.
func Check(l *loop.Loop, attempt *tries.Row) {
	result := attempt.Result()
	reply, ok := result.Reply().(lagoon.StampedReply)
	if !ok {
		return
	}
	req, ok := l.Requests().Resolve(attempt.Request())
	if !ok || req.Decided() {
		return
	}
	shard, ok := l.Shards().Resolve(attempt.Shard())
	if !ok || shard.State() == shards.Covered || shard.State() == shards.Missing {
		return
	}
	stamp := reply.Stamp()
	shard.SetStamp(stamp)
	if stamp != "" && !dropOthers(l, req, attempt.Shard(), stamp) {
		return
	}
	result.SetStatus(lagoon.StatusUnknown)
	result.SetReply(nil)
	result.SetDetail("the stamp of the response is not its own")
	attempt.SetResult(result)
}

// dropOthers drops the replies of other shards that have a stamp, and reports whether there
// are any.
func dropOthers(l *loop.Loop, req *reqs.Row, shardID lagoon.RowID, stamp string) bool {
	found := false
	for _, id := range req.Shards() {
		other, ok := l.Shards().Resolve(id)
		if !ok || id == shardID || other.Stamp() != stamp {
			continue
		}
		found = true
		if other.State() == shards.Covered {
			other.SetState(shards.Missing)
			other.SetDetail("the response of another shard has the same stamp")
			req.SetCoveredShards(req.CoveredShards() - 1)
		}
	}
	return found
}
