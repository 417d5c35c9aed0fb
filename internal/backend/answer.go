package backend

import (
	"time"

	stiletrailv1 "stiletrail/api/stiletrail/v1"
	"stiletrail/internal/message"
	"stiletrail/internal/query"
)

// checkAnswer verifies that an answer is complete and belongs to this attempt. The result has status StatusInvalid if
// not.
func checkAnswer(attempt query.Attempt, response *stiletrailv1.QueryResponse) query.AttemptResult {
	result := query.AttemptResult{
		Attempt: attempt.Number, Status: statusOf(response.GetStatus()),
		Snapshot:   query.Snapshot{Version: response.GetVersion(), Epoch: response.GetEpoch()},
		RetryAfter: time.Duration(response.GetRetryAfterMilliseconds()) * time.Millisecond,
	}
	if response.GetGeneration() != attempt.Generation || response.GetAttempt() != attempt.Number {
		result.Status = query.StatusInvalid
		return result
	}
	if holding := response.GetHolding(); holding != nil {
		result.Holding = holdingOf(holding)
		result.HasHolding = true
	}
	result.Results = resultsOf(response)
	if result.Status == query.StatusOK {
		checksum, count := query.Checksum(result.Results)
		if checksum != response.GetChecksum() || count != response.GetDocumentCount() {
			result.Status = query.StatusInvalid
		}
		if count > message.MaximumItems {
			result.Status = query.StatusInvalid
		}
	}
	return result
}

func resultsOf(response *stiletrailv1.QueryResponse) []query.ShardDocuments {
	var results []query.ShardDocuments
	for _, shard := range response.GetResults() {
		documents := query.ShardDocuments{Shard: shard.GetShard()}
		for _, document := range shard.GetDocuments() {
			documents.Documents = append(documents.Documents, query.Document{Key: document.GetKey(), Body: document.GetBody()})
		}
		results = append(results, documents)
	}
	return results
}

func statusOf(status stiletrailv1.QueryStatus) query.Status {
	switch status {
	case stiletrailv1.QueryStatus_QUERY_STATUS_OK:
		return query.StatusOK
	case stiletrailv1.QueryStatus_QUERY_STATUS_SHED:
		return query.StatusShed
	case stiletrailv1.QueryStatus_QUERY_STATUS_DRAINING:
		return query.StatusDraining
	case stiletrailv1.QueryStatus_QUERY_STATUS_VERSION_UNAVAILABLE:
		return query.StatusVersionUnavailable
	case stiletrailv1.QueryStatus_QUERY_STATUS_NOT_HELD:
		return query.StatusNotHeld
	case stiletrailv1.QueryStatus_QUERY_STATUS_EXPIRED:
		return query.StatusExpired
	}
	return query.StatusInvalid
}

func holdingOf(holding *stiletrailv1.Holding) query.Holding {
	return query.Holding{
		State: stateOf(holding.GetState()), Epoch: holding.GetEpoch(), ShardsTotal: holding.GetShardsTotal(),
		Shards: holding.GetShards(), OldestVersion: holding.GetOldestVersion(), NewestVersion: holding.GetNewestVersion(),
	}
}

func stateOf(state stiletrailv1.BackEndState) query.State {
	switch state {
	case stiletrailv1.BackEndState_BACK_END_STATE_COLD:
		return query.StateCold
	case stiletrailv1.BackEndState_BACK_END_STATE_SERVING:
		return query.StateServing
	case stiletrailv1.BackEndState_BACK_END_STATE_DRAINING:
		return query.StateDraining
	}
	return query.StateUnknown
}
