package header

import (
	"errors"
	"testing"
	"time"
)

// Guards against properties of a request that change on their way to its front.
func TestForwardSurvives(t *testing.T) {
	sent := ForwardInfo{
		Service: "display", Class: "read,all", KeyHash: 1<<63 + 5, Caller: "10.0.0.1, x%y", RequestID: "loom.a-1-z",
		Left: 250 * time.Millisecond, TableRevision: 7, Host: "Example.test:80",
	}
	got, err := ParseForward(sent.String())
	if err != nil || got != sent {
		t.Errorf("sent %+v, got %+v, %v", sent, got, err)
	}
}

// FuzzParseForward guards against peers that crash a front.
func FuzzParseForward(f *testing.F) {
	f.Add(ForwardInfo{Service: "s"}.String())
	f.Add("a,b,c,d,e,f,g,h")
	f.Add(",,,,,,,")
	f.Add("")
	f.Fuzz(func(t *testing.T, s string) {
		info, err := ParseForward(s)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("error without a type: %v", err)
			}
			return
		}
		if again, err := ParseForward(info.String()); err != nil || again != info {
			t.Errorf("%+v became %+v, %v", info, again, err)
		}
	})
}
