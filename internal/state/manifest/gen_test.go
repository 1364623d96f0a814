package manifest

import (
	"fmt"

	"pgregory.net/rapid"
)

// drawManifest generates a valid manifest whose services have disjoint prefixes.
func drawManifest(t *rapid.T) *Manifest {
	m := &Manifest{Schema: Schema, Name: "m"}
	for i := range rapid.IntRange(1, 4).Draw(t, "services") {
		m.Services = append(m.Services, drawService(t, i))
	}
	if rapid.IntRange(0, 9).Draw(t, "root") == 0 {
		m.Services = m.Services[:1]
		m.Services[0].PathPrefix = "/"
	}
	for i := range m.Services {
		m.Services[i].keepValidClasses()
	}
	m.ApplyDefaults()
	return m
}

func (s *Service) keepValidClasses() {
	var kept []Class
	for _, c := range s.Classes {
		if !shadowed(kept, &c) && !prefixIncludesKey(&s.Key, &c) {
			kept = append(kept, c)
		}
	}
	s.Classes = kept
}

func drawService(t *rapid.T, i int) Service {
	s := Service{Name: fmt.Sprintf("s.%d", i), PathPrefix: rapid.SampledFrom([]string{"/s%d", "/x/s%d", "/s%d/v1"}).Draw(t, "prefix")}
	s.PathPrefix = fmt.Sprintf(s.PathPrefix, i)
	s.Key = rapid.SampledFrom([]KeySource{
		{From: KeyFromPath}, {From: KeyFromPath, Segment: 2}, {From: KeyFromQuery, Name: "id"}, {From: KeyFromHeader, Name: "x-key"},
	}).Draw(t, "key")
	for j := range rapid.IntRange(1, 3).Draw(t, "classes") {
		s.Classes = append(s.Classes, drawClass(t, j))
	}
	s.Classes = append(s.Classes, Class{Name: "rest", Repeat: RepeatNever, DeadlineMs: 1000, Objective: Objective{LatencyMs: 100, Ratio: 0.99}})
	for j := range rapid.IntRange(1, 4).Draw(t, "targets") {
		s.Targets = append(s.Targets, Target{
			Name: fmt.Sprintf("t%d", j), Address: fmt.Sprintf("127.0.%d.%d:80", i, j+1), Domain: "a",
			Slots: rapid.IntRange(1, 6).Draw(t, "slots"), Connections: 60, ChecksGrants: true,
		})
	}
	return s
}

func drawClass(t *rapid.T, j int) Class {
	return Class{
		Name:       fmt.Sprintf("c%d", j),
		Methods:    rapid.SampledFrom([][]string{nil, {"GET"}, {"POST"}, {"GET", "POST"}}).Draw(t, "methods"),
		PathPrefix: rapid.SampledFrom([]string{"", "/", "/a", "/a/b", "/ab"}).Draw(t, "class prefix"),
		Repeat:     rapid.SampledFrom([]Repeat{RepeatIdempotent, RepeatNever}).Draw(t, "repeat"),
		DeadlineMs: 500,
		Objective:  Objective{LatencyMs: 50, Ratio: 0.999},
	}
}
