package manifest

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// maxKeySegment is the maximum index of the path segment that holds the key.
const maxKeySegment = 15

// reservedHeaderPrefix is the prefix of the router's own headers, in lower case. A key
// in one of them would be overwritten when the request is forwarded.
const reservedHeaderPrefix = "jackdawloom-"

var (
	tokenPattern  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}$")
	methodPattern = regexp.MustCompile(`^[A-Z][A-Z-]{0,31}$`)
)

func (v *validator) service(path string, s *Service) {
	v.name(path+".name", s.Name)
	v.prefix(path+".path_prefix", s.PathPrefix, false)
	v.inRange(path+".shards", s.Shards, 0, MaxShards, "")
	if n := len(s.Targets); s.Shards > 0 && s.Shards < n {
		v.add(path+".shards", fmt.Sprintf("%d shards for %d targets; some targets would own nothing", s.Shards, n), "")
	}
	v.key(path+".key", s.Key)
	v.classes(path+".classes", s.Classes)
	v.keyInPrefix(path+".classes", s)
	v.targets(path+".targets", s.Targets)
}

func (v *validator) key(path string, k KeySource) {
	switch k.From {
	case KeyFromPath:
		v.inRange(path+".segment", k.Segment, 0, maxKeySegment, "")
		if k.Name != "" {
			v.add(path+".name", "applies to query and header keys only", "remove it")
		}
	case KeyFromQuery, KeyFromHeader:
		v.keyName(path, k)
	case "":
		v.add(path+".from", "missing", "use path, query or header")
	default:
		v.add(path+".from", fmt.Sprintf("unknown key source %q", k.From), "use path, query or header")
	}
}

func (v *validator) keyName(path string, k KeySource) {
	if k.Segment != 0 {
		v.add(path+".segment", "applies to path keys only", "remove it")
	}
	switch {
	case k.Name == "":
		v.add(path+".name", "missing", "give the name of the "+string(k.From)+" parameter")
	case !tokenPattern.MatchString(k.Name):
		v.add(path+".name", fmt.Sprintf("%q is not a valid %s name", k.Name, k.From), "")
	case k.From == KeyFromHeader && strings.HasPrefix(strings.ToLower(k.Name), reservedHeaderPrefix):
		v.add(path+".name", fmt.Sprintf("header %q is reserved for the router", k.Name), "")
	}
}

func (v *validator) classes(path string, classes []Class) {
	classes = classes[:v.checkLength(path, len(classes), MaxClasses)]
	for i := range classes {
		v.class(indexedPath(path, i), &classes[i])
		if i > 0 && shadowed(classes[:i], &classes[i]) {
			v.add(indexedPath(path, i), fmt.Sprintf("class %q can never match: earlier classes match all its requests", classes[i].Name),
				"move it before them or remove it")
		}
	}
	v.unique(path, len(classes), func(i int) string { return classes[i].Name })
}

// keyInPrefix reports classes whose literal prefix includes the key's segment. All
// their requests would have the same key and therefore the same owner.
func (v *validator) keyInPrefix(path string, s *Service) {
	if s.Key.From != KeyFromPath {
		return
	}
	for i := range s.Classes[:min(len(s.Classes), MaxClasses)] {
		if prefixIncludesKey(&s.Key, &s.Classes[i]) {
			v.add(indexedPath(path, i)+".path_prefix", fmt.Sprintf("%q includes the segment of the key", s.Classes[i].PathPrefix),
				"use a shorter prefix or a later key segment")
		}
	}
}

func prefixIncludesKey(k *KeySource, c *Class) bool {
	return k.From == KeyFromPath && pathSegment(c.PathPrefix, k.Segment) != ""
}

// shadowed reports whether the earlier classes match every request that c matches.
func shadowed(earlier []Class, c *Class) bool {
	covered := func(method string) bool {
		return slices.ContainsFunc(earlier, func(e Class) bool {
			methodMatches := len(e.Methods) == 0 || slices.Contains(e.Methods, method)
			return methodMatches && hasPathPrefix(c.PathPrefix, e.PathPrefix)
		})
	}
	if len(c.Methods) == 0 {
		return covered("")
	}
	return !slices.ContainsFunc(c.Methods, func(m string) bool { return !covered(m) })
}

func (v *validator) class(path string, c *Class) {
	v.name(path+".name", c.Name)
	v.methods(path+".methods", c.Methods)
	v.prefix(path+".path_prefix", c.PathPrefix, true)
	switch c.Repeat {
	case RepeatIdempotent, RepeatNever:
	case "":
		v.add(path+".repeat", "missing", "use idempotent or never")
	default:
		v.add(path+".repeat", fmt.Sprintf("unknown value %q", c.Repeat), "use idempotent or never")
	}
	v.inRange(path+".deadline_ms", c.DeadlineMs, 1, MaxDeadlineMs, " ms")
	v.objective(path+".objective", c)
}

func (v *validator) methods(path string, methods []string) {
	if len(methods) > MaxMethods {
		v.add(path, fmt.Sprintf("%d entries; expected at most %d", len(methods), MaxMethods), "")
		return
	}
	for i, m := range methods {
		if !methodPattern.MatchString(m) {
			v.add(indexedPath(path, i), fmt.Sprintf("%q is not a method", m), "use upper case, such as GET")
		}
		if slices.Contains(methods[:i], m) {
			v.add(indexedPath(path, i), fmt.Sprintf("method %s given twice", m), "")
		}
	}
}

func (v *validator) objective(path string, c *Class) {
	o := c.Objective
	if o == (Objective{}) {
		v.add(path, "missing", "give latency_ms and ratio")
		return
	}
	// Requests are refused once their deadline has passed, so a latency objective
	// longer than the deadline could never be missed because of latency.
	maxLatency, unit := c.DeadlineMs, " ms (the deadline)"
	if maxLatency < 1 || maxLatency > MaxDeadlineMs {
		maxLatency, unit = MaxDeadlineMs, " ms"
	}
	v.inRange(path+".latency_ms", o.LatencyMs, 1, maxLatency, unit)
	if !(o.Ratio > 0 && o.Ratio < 1) {
		v.add(path+".ratio", fmt.Sprintf("%v is out of range; expected above 0 and below 1", o.Ratio), "")
	}
}

func (v *validator) targets(path string, targets []Target) {
	targets = targets[:v.checkLength(path, len(targets), MaxTargets)]
	draining := 0
	for i := range targets {
		v.target(indexedPath(path, i), &targets[i])
		if targets[i].Drain {
			draining++
		}
	}
	v.unique(path, len(targets), func(i int) string { return targets[i].Name })
	if draining > 0 && draining == len(targets) {
		v.add(path, "every target has drain set, so no target is left to own their keys",
			"leave one target without drain, or remove the service")
	}
}

func (v *validator) target(path string, t *Target) {
	v.name(path+".name", t.Name)
	v.address(path+".address", t.Address)
	v.name(path+".domain", t.Domain)
	v.inRange(path+".slots", t.Slots, 1, MaxSlots, "")
	v.inRange(path+".connections", t.Connections, 1, MaxConnections, "")
	if !t.ChecksGrants {
		v.add(path+".checks_grants", "must be true: a request is sent directly to the owner of its key, which has to refuse keys that it was not granted",
			"serve the key space with targets that check grants")
	}
	// Grants are sent on a separate connection.
	if t.Slots >= 1 && t.Connections >= 1 && t.Connections <= t.Slots {
		v.add(path+".connections", fmt.Sprintf("%d connections cannot carry %d slots and the connection for grants", t.Connections, t.Slots), "")
	}
}

// address checks that the address is ip:port and unique. The slots of two targets with
// the same address would be counted twice.
func (v *validator) address(path, address string) {
	if address == "" {
		v.add(path, "missing", "give ip:port")
		return
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		v.add(path, fmt.Sprintf("%q is not ip:port of a host", address), "use an IP address and a port of 1 to 65535, such as 10.0.0.1:8080")
		return
	}
	canonical := netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String()
	if first, dup := v.addresses[canonical]; dup {
		v.add(path, fmt.Sprintf("address %s is already used by %s", canonical, first), "")
		return
	}
	v.addresses[canonical] = strings.TrimSuffix(path, ".address")
}
