package daemon

import (
	"errors"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

func configOf(t *testing.T, revision uint64) []byte {
	t.Helper()
	b, err := manifest.EncodeAccepted(manifest.Accepted{
		Revision: revision, Operation: "op", Manifest: manifest.Manifest{Schema: manifest.Schema},
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func tableOf(t *testing.T, revision uint64) []byte {
	t.Helper()
	b, err := (&table.Table{Revision: revision}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against a daemon that falls back to an older document, from a store
// that answers from an old state or from a peer that lags. Peers repair such a
// daemon within milliseconds, so tests with processes hardly see it.
func TestDocumentsNeverRevert(t *testing.T) {
	d := newDocuments(manifest.MaxKeyBytes)
	for _, revision := range []uint64{2, 1, 2, 3, 1} {
		held := d.get().revisions()
		fresh := revision > held.Config
		for what, err := range map[string]error{
			"configuration": d.offerConfig(configOf(t, revision)),
			"table":         d.offerTable(tableOf(t, revision)),
		} {
			if fresh != (err == nil) || !fresh && !errors.Is(err, errOldRevision) {
				t.Errorf("%s %d offered while %d was held: %v", what, revision, held.Config, err)
			}
		}
		want := max(held.Config, revision)
		if now := d.get().revisions(); now != (peer.Revisions{Config: want, Table: want}) {
			t.Errorf("after revision %d: %+v held, want %d", revision, now, want)
		}
	}
}
