package table

import (
	"errors"
	"reflect"
	"testing"
)

func sample() *Table {
	return &Table{
		Revision: 4, Term: 2, Operation: "op", Config: 1,
		Members: []Member{{ID: "a.1/1", Daemon: "a", Address: "127.0.0.1:1", Domain: "x", Voters: []MemberID{"a.1", StoreVoter}}},
		Services: []Service{{
			Name:      "display",
			Targets:   []Target{{Name: "t0", Front: "a.1/1", Epoch: 1}, {Name: "t1", Epoch: 1}, {Name: "t2", Epoch: 1}},
			Owners:    []uint16{0, 1, 2, NoOwner},
			Epochs:    []uint32{1, 1, 2, 3},
			Moves:     []Move{{Shard: 0, To: 2}, {Shard: 2, To: 1}},
			Overrides: []Override{{Hash: 5, Owner: 1, Epoch: 1, To: 2}, {Hash: 6, Owner: 2, Epoch: 2, To: NoOwner}},
		}},
	}
}

// Guards against a table that changes on its way, and against a clone that
// shares memory with its original.
func TestCloneAndCodec(t *testing.T) {
	original := sample()
	b, err := original.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(original, decoded) {
		t.Errorf("decoded %+v", decoded)
	}
	c := original.Clone()
	c.Members[0].Voters[0], c.Services[0].Owners[0], c.Services[0].Moves[0].To = "b", 1, 0
	if !reflect.DeepEqual(original, sample()) {
		t.Error("a change of the clone changed the original")
	}
}

// Guards against indexes that point at another target after one was removed.
func TestRemoveTargetRenumbers(t *testing.T) {
	s := sample().Services[0]
	s.Vacate(1, 9)
	if s.Refers(1) {
		t.Fatalf("vacated target is still referred to: %+v", s)
	}
	if s.Epochs[2] != 9 || s.Owners[2] != 2 {
		t.Errorf("cancelled move of shard 2: owner %d, epoch %d", s.Owners[2], s.Epochs[2])
	}
	s.RemoveTarget(1)
	want := []uint16{0, NoOwner, 1, NoOwner}
	if !reflect.DeepEqual(s.Owners, want) || s.Targets[1].Name != "t2" {
		t.Errorf("owners %v of %v", s.Owners, s.Targets)
	}
	if s.Moves[0].To != 1 || s.Overrides[0].Owner != 1 || s.Overrides[0].To != NoOwner {
		t.Errorf("moves %v, overrides %v", s.Moves, s.Overrides)
	}
}

// FuzzDecode guards against stored tables that crash the daemons that read
// them: every accepted table must place every key.
func FuzzDecode(f *testing.F) {
	b, err := sample().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, b []byte) {
		decoded, err := Decode(b)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("error without a type: %v", err)
			}
			return
		}
		for i := range decoded.Services {
			s := &decoded.Services[i]
			if p := s.Place(KeyHash("k")); p.Owner != NoOwner && int(p.Owner) >= len(s.Targets) {
				t.Errorf("placed at target %d of %d", p.Owner, len(s.Targets))
			}
		}
		decoded.Clone()
	})
}
