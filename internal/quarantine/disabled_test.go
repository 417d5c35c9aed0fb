package quarantine_test

import (
	"fmt"
	"testing"

	"stiletrail/internal/clock"
	"stiletrail/internal/quarantine"
)

// TestNoShardIsExcludedWhileDisabled guards against shards that are left out once quarantines are switched on, because of
// crashes while they were off: a single crash was enough for that.
func TestNoShardIsExcludedWhileDisabled(t *testing.T) {
	core, id := quarantine.New(quarantine.Settings{Duration: quarantineDuration}), requestBy("a", "x")
	for i := range 2 {
		began := clock.Ms(10 * i)
		core.RecordAnswer(began, id, "answers", "v1")
		core.RecordCrash(began+10, id, crashOf("crashes", fmt.Sprint(i), began+1, began+10))
	}
	core.RecordAnswer(30, id, "answers", "v1")
	core.Reconfigure(quarantine.Settings{Rounds: 3, Duration: quarantineDuration})
	if core.ShardExcluded(40, id, "crashes") {
		t.Error("a shard is excluded after two crashes that were recorded while quarantines were off")
	}
}
