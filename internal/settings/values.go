package settings

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Limits of lists.
const (
	maxSeeds = 64
	maxURLs  = 16
)

const nameForm = "1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

type setter = func(*Settings, string) error

func name(field func(*Settings) *string) setter {
	return func(s *Settings, value string) error {
		if !namePattern.MatchString(value) {
			return fmt.Errorf("%q is not a valid name", value)
		}
		*field(s) = value
		return nil
	}
}

func file(field func(*Settings) *string) setter {
	return func(s *Settings, value string) error {
		if strings.ContainsRune(value, 0) {
			return fmt.Errorf("%q is not a file name", value)
		}
		*field(s) = value
		return nil
	}
}

func logLevel(s *Settings, value string) error {
	levels := map[string]slog.Level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}
	level, ok := levels[value]
	if !ok {
		return fmt.Errorf("unknown level %q", value)
	}
	s.Daemon.LogLevel = level
	return nil
}

func logFormat(s *Settings, value string) error {
	switch f := LogFormat(value); f {
	case LogText, LogJSON:
		s.Daemon.LogFormat = f
		return nil
	}
	return fmt.Errorf("unknown format %q", value)
}

func durationForm(least, most time.Duration) string {
	return fmt.Sprintf("duration such as 500ms or 2s, %s to %s", shortDuration(least), shortDuration(most))
}

// shortDuration leaves out zero minutes and seconds: 10m, not 10m0s.
func shortDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	return text
}

func duration(least, most time.Duration, field func(*Settings) *time.Duration) setter {
	return func(s *Settings, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("%q is not a duration", value)
		}
		if d < least || d > most {
			return fmt.Errorf("%s is out of range", value)
		}
		*field(s) = d
		return nil
	}
}

func sizeForm(least, most int64) string {
	return fmt.Sprintf("bytes, or a number with KiB, MiB or GiB, %s to %s", shortSize(least), shortSize(most))
}

var units = []struct {
	name  string
	bytes int64
}{{"GiB", gib}, {"MiB", mib}, {"KiB", kib}}

func shortSize(n int64) string {
	for _, u := range units {
		if n >= u.bytes && n%u.bytes == 0 {
			return fmt.Sprintf("%d%s", n/u.bytes, u.name)
		}
	}
	return strconv.FormatInt(n, 10)
}

func parseSize(value string) (int64, error) {
	number, unit := value, int64(1)
	for _, u := range units {
		if rest, ok := strings.CutSuffix(value, u.name); ok {
			number, unit = strings.TrimSpace(rest), u.bytes
			break
		}
	}
	n, err := strconv.ParseInt(number, 10, 32)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, fmt.Errorf("%q is not a size", value)
	}
	return n * unit, nil // at most 2^31 GiB, so there is no overflow
}

func size(least, most int64, field func(*Settings) *int64) setter {
	return func(s *Settings, value string) error {
		n, err := parseSize(value)
		if err != nil {
			return err
		}
		if n < least || n > most {
			return fmt.Errorf("%s is out of range", value)
		}
		*field(s) = n
		return nil
	}
}

func parseAddress(value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return a, fmt.Errorf("%q is not ip:port", value)
	}
	if a.Port() == 0 || a.Addr().IsMulticast() {
		return a, fmt.Errorf("%q cannot be listened on and dialed", value)
	}
	return a, nil
}

// parseHost reads an address that other processes dial.
func parseHost(value string) (netip.AddrPort, error) {
	a, err := parseAddress(value)
	if err == nil && a.Addr().IsUnspecified() {
		err = fmt.Errorf("%q names no host; other daemons could not dial it", value)
	}
	return a, err
}

func listenCaller(s *Settings, value string) (err error) {
	s.Listen.Caller, err = parseAddress(value)
	return err
}

func listenPeer(s *Settings, value string) (err error) {
	s.Listen.Peer, err = parseHost(value)
	return err
}

func listenAdmin(s *Settings, value string) (err error) {
	s.Listen.Admin, err = parseHost(value)
	return err
}

// list splits a comma separated value.
func list(value string, most int) ([]string, error) {
	if strings.TrimSpace(value) == "" {
		return nil, nil
	}
	parts := strings.Split(value, ",")
	if len(parts) > most {
		return nil, fmt.Errorf("%d entries; expected at most %d", len(parts), most)
	}
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts, nil
}

func seeds(s *Settings, value string) error {
	parts, err := list(value, maxSeeds)
	if err != nil {
		return err
	}
	var bad []error
	for _, p := range parts {
		a, err := parseHost(p)
		if err != nil {
			bad = append(bad, err)
			continue
		}
		s.Peers.Seeds = append(s.Peers.Seeds, a)
	}
	return errors.Join(bad...)
}

// parseURL reads the address of a platform service: plain HTTP by IP address.
func parseURL(value string) (string, error) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return "", fmt.Errorf("%q is not http://ip:port", value)
	}
	if _, err := parseHost(u.Host); err != nil {
		return "", fmt.Errorf("%q is not http://ip:port", value)
	}
	return strings.TrimSuffix(value, "/"), nil
}

func storeURLs(s *Settings, value string) error {
	parts, err := list(value, maxURLs)
	if err != nil {
		return err
	}
	var bad []error
	for _, p := range parts {
		u, err := parseURL(p)
		if err != nil {
			bad = append(bad, err)
			continue
		}
		s.Store.URLs = append(s.Store.URLs, u)
	}
	return errors.Join(bad...)
}

func storeEmbedded(s *Settings, value string) error {
	switch value {
	case "true":
		s.Store.Embedded = true
	case "false":
		s.Store.Embedded = false
	default:
		return fmt.Errorf("%q is not true or false", value)
	}
	return nil
}
