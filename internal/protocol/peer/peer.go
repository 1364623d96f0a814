// Package peer defines the messages between daemons and their CBOR codec.
// They travel as bodies of HTTP/3 requests.
package peer

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Paths of the peer endpoints.
const (
	PathHeartbeat = "/peer/heartbeat"
	PathFence     = "/peer/fence"
	PathReport    = "/peer/report"
	PathDocument  = "/peer/document"
	PathForward   = "/peer/forward"
	PathMove      = "/peer/move"
)

// MaxMessage is the largest control message in bytes. It holds a table of
// 65,536 shards with room to spare.
const MaxMessage = 4 << 20

// ErrMalformed reports a message that cannot be decoded.
var ErrMalformed = errors.New("malformed peer message")

// Revisions are the document revisions that a daemon holds.
type Revisions struct {
	Config uint64 `cbor:"1,keyasint"`
	Table  uint64 `cbor:"2,keyasint"`
}

// Heartbeat asks a voter to renew the sender's serving lease. To names the
// voter's incarnation: a restarted voter has forgotten its promises and must
// not answer for its predecessor.
type Heartbeat struct {
	From      table.MemberID `cbor:"1,keyasint"`
	To        table.MemberID `cbor:"2,keyasint"`
	Sequence  uint64         `cbor:"3,keyasint"`
	Revisions Revisions      `cbor:"4,keyasint"`
}

// HeartbeatReply answers a heartbeat. Renewed is the voter's promise; Fenced
// says that the sender's incarnation has ended for good.
type HeartbeatReply struct {
	From      table.MemberID `cbor:"1,keyasint"`
	Sequence  uint64         `cbor:"2,keyasint"`
	Renewed   bool           `cbor:"3,keyasint"`
	Fenced    bool           `cbor:"4,keyasint"`
	Revisions Revisions      `cbor:"5,keyasint"`
	// Coordinator is the address of the coordinator of the highest term that
	// the voter knows.
	Coordinator string `cbor:"6,keyasint,omitempty"`
	Term        int64  `cbor:"7,keyasint,omitempty"`
}

// FenceRequest asks a voter to agree that a member's lease has ended.
type FenceRequest struct {
	From   table.MemberID `cbor:"1,keyasint"`
	To     table.MemberID `cbor:"2,keyasint"`
	Member table.MemberID `cbor:"3,keyasint"`
}

// FenceReply answers a fence request. If Agreed is false, RemainingMs tells how
// long the voter's promise still binds it. From is the run that answers.
type FenceReply struct {
	From        table.MemberID `cbor:"1,keyasint"`
	Member      table.MemberID `cbor:"2,keyasint"`
	Agreed      bool           `cbor:"3,keyasint"`
	RemainingMs int64          `cbor:"4,keyasint"`
	// UpMs is how long the answering run has been up. If it is not the run that
	// was asked, that one ended before.
	UpMs int64 `cbor:"5,keyasint"`
}

// TargetHealth is a front's verdict on a target.
type TargetHealth uint8

// Verdicts of a front.
const (
	TargetUnknown TargetHealth = iota
	TargetServing
	// TargetEnded means that the target is unreachable or failing and that
	// its grant has certainly ended.
	TargetEnded
	// TargetLeaving means that the target announced that it drains.
	TargetLeaving
)

// TargetReport is what a front tells of one target.
type TargetReport struct {
	Service string       `cbor:"1,keyasint"`
	Target  string       `cbor:"2,keyasint"`
	Epoch   uint64       `cbor:"3,keyasint"`
	Health  TargetHealth `cbor:"4,keyasint"`
	// ReleasedShards lists the moving shards that the front has released.
	ReleasedShards []uint32 `cbor:"5,keyasint,omitempty"`
	// ReleasedHot lists the moving overrides that the front has released.
	ReleasedHot []uint64 `cbor:"6,keyasint,omitempty"`
	// ReleasedFront says that the front has stopped fronting the target.
	ReleasedFront bool `cbor:"7,keyasint,omitempty"`
	// BusyMilli is the mean number of slots in use lately, in thousandths.
	BusyMilli uint32 `cbor:"8,keyasint,omitempty"`
	// HotKeys are the keys with the highest load, the hottest first.
	HotKeys []HotKeyLoad `cbor:"9,keyasint,omitempty"`
}

// HotKeyLoad is the estimated load of one key in thousandths of a slot.
type HotKeyLoad struct {
	Hash  uint64 `cbor:"1,keyasint"`
	Milli uint32 `cbor:"2,keyasint"`
	// NeverMilli is the part of Milli by never-repeat requests.
	NeverMilli uint32 `cbor:"3,keyasint,omitempty"`
}

// Report is a daemon's periodic message to the coordinator. A daemon that is
// no member yet asks to join by it.
type Report struct {
	From      table.MemberID `cbor:"1,keyasint"`
	Daemon    string         `cbor:"2,keyasint"`
	Address   string         `cbor:"3,keyasint"`
	Admin     string         `cbor:"4,keyasint"`
	Domain    string         `cbor:"5,keyasint"`
	Sequence  uint64         `cbor:"6,keyasint"`
	Revisions Revisions      `cbor:"7,keyasint"`
	// Leaving says that the daemon is shutting down and wants to be drained.
	Leaving bool           `cbor:"8,keyasint,omitempty"`
	Targets []TargetReport `cbor:"9,keyasint,omitempty"`
	// Fenced lists members that a majority of their voters agreed to fence.
	Fenced []table.MemberID `cbor:"10,keyasint,omitempty"`
}

// ReportReply answers a report.
type ReportReply struct {
	Coordinator bool      `cbor:"1,keyasint"`
	Term        int64     `cbor:"2,keyasint"`
	Revisions   Revisions `cbor:"3,keyasint"`
}

// MoveRequest asks the coordinator to move a shard to a target. It may be
// repeated.
type MoveRequest struct {
	Service string `cbor:"1,keyasint"`
	Shard   uint32 `cbor:"2,keyasint"`
	Target  string `cbor:"3,keyasint"`
}

// MoveVerdict is the coordinator's answer to a request for a move.
type MoveVerdict uint8

// Verdicts on a move.
const (
	// MoveUnavailable means that the receiver cannot decide now: it is not the
	// coordinator or has no table yet.
	MoveUnavailable MoveVerdict = iota
	MoveAccepted
	MoveInvalid
	MoveTooMany
)

// MoveReply answers a MoveRequest.
type MoveReply struct {
	Verdict MoveVerdict `cbor:"1,keyasint"`
	Problem string      `cbor:"2,keyasint,omitempty"`
}

// Documents carries encoded documents: in a reply, those whose revision is
// higher than asked for; as a request, those that the sender announces.
type Documents struct {
	Revisions Revisions `cbor:"1,keyasint"`
	Config    []byte    `cbor:"2,keyasint,omitempty"`
	Table     []byte    `cbor:"3,keyasint,omitempty"`
}

// Encode returns the CBOR form of a message.
func Encode(m any) ([]byte, error) { return cbor.Marshal(m) }

// Decode reads one message of at most MaxMessage bytes into m.
func Decode(r io.Reader, m any) error {
	b, err := io.ReadAll(io.LimitReader(r, MaxMessage+1))
	if err != nil {
		return fmt.Errorf("read peer message: %w", err)
	}
	if len(b) > MaxMessage {
		return fmt.Errorf("%w: longer than %d bytes", ErrMalformed, MaxMessage)
	}
	if err := cbor.Unmarshal(b, m); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
