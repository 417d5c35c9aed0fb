package message

import (
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	"stiletrail/internal/history"
)

// framesFile has a line for each sample: the number of its kind and its frame in hexadecimal, as nodes of the same protocol write it.
const framesFile = "testdata/frames.txt"

// framed are the samples and those whose fields a sample leaves unset.
func framed() []Message {
	confirmation := Confirmation{Confirmed: true, AgeMs: 1234}
	return append(samples(),
		&StoreDigest{Revision: history.At(3, 70000), Configuration: 300, Confirmation: confirmation},
		&StoreRecords{Since: history.At(2, 5), Revision: history.At(3, 6), Confirmation: confirmation},
		&MemberSync{Complete: true, Hash: 77},
		&CatalogDocuments{Operation: 9, Documents: [][]byte{{1, 2}, {3}}, Wanted: []ServiceVersion{{Service: "w", Version: 4}}},
	)
}

// TestFramesKeepTheirBytes: a frame has the bytes that other nodes of the same protocol write and read. A field that moves passes a
// round trip; it does not pass here.
func TestFramesKeepTheirBytes(t *testing.T) {
	text, err := os.ReadFile(framesFile)
	if err != nil {
		t.Fatal(err)
	}
	kept := strings.Split(strings.TrimSpace(string(text)), "\n")
	var written []string
	for _, m := range framed() {
		written = append(written, fmt.Sprintf("%d %s", m.Kind(), hex.EncodeToString(Encode(m))))
	}
	if len(kept) != len(written) {
		t.Errorf("%d frames are kept, %d written", len(kept), len(written))
	}
	for i := range min(len(kept), len(written)) {
		if kept[i] != written[i] {
			t.Errorf("sample %d: written %s, kept %s", i, written[i], kept[i])
		}
	}
}
