package peer

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

func sampleReport() Report {
	return Report{
		From: "loom-1.a/1", Daemon: "loom-1", Address: "127.0.0.1:1", Admin: "127.0.0.1:2", Domain: "a",
		Sequence: 7, Revisions: Revisions{Config: 1, Table: 2}, Leaving: true,
		Targets: []TargetReport{{
			Service: "display", Target: "display-01", Epoch: 3, Health: TargetEnded,
			ReleasedShards: []uint32{1, 2}, ReleasedHot: []uint64{1 << 60}, ReleasedFront: true,
			BusyMilli: 2500, HotKeys: []HotKeyLoad{{Hash: 9, Milli: 800, NeverMilli: 1}},
		}},
		Fenced: []table.MemberID{"loom-2.b/1"},
	}
}

// Guards against a field that is lost between daemons.
func TestReportSurvivesTheWire(t *testing.T) {
	sent := sampleReport()
	b, err := Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	var got Report
	if err := Decode(bytes.NewReader(b), &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(sent, got) {
		t.Errorf("sent %+v, got %+v", sent, got)
	}
}

// Guards against a peer that makes a daemon read without end.
func TestLongMessageIsRefused(t *testing.T) {
	var r Report
	err := Decode(strings.NewReader(strings.Repeat("x", MaxMessage+1)), &r)
	if !errors.Is(err, ErrMalformed) {
		t.Errorf("error of a message above the limit: %v", err)
	}
}

// FuzzDecode guards against messages that crash a daemon or that decode to
// something that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	report, err := Encode(sampleReport())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(report)
	f.Add(report[:len(report)/2])
	f.Add([]byte{})
	f.Add([]byte{0x9f, 0xff})
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, m := range []any{&Heartbeat{}, &HeartbeatReply{}, &FenceRequest{}, &FenceReply{}, &Report{}, &ReportReply{}, &Documents{}} {
			if err := Decode(bytes.NewReader(b), m); err != nil {
				if !errors.Is(err, ErrMalformed) {
					t.Errorf("%T: error without a type: %v", m, err)
				}
				continue
			}
			if _, err := Encode(m); err != nil {
				t.Errorf("%T: decoded but not encoded again: %v", m, err)
			}
		}
	})
}
