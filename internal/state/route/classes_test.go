package route

import (
	"reflect"
	"testing"
	"time"
)

// Guards against classes that are missing because a route has several services, and against
// classes of services that a route gives no weight.
func TestClassesOfSharedServices(t *testing.T) {
	to := func(priority int, objective time.Duration, services ...WeightedService) Route {
		return Route{Priority: priority, Objective: objective, WeightedServices: services}
	}
	c := New(1, []Route{
		to(2, time.Second, WeightedService{"a", 1}), to(0, 300, WeightedService{"b", 0.7}, WeightedService{"a", 0.3}, WeightedService{"c", 0}),
		to(2, 800, WeightedService{"a", 1}), to(2, 0, WeightedService{"a", 1}),
	}, nil, Limits{})
	for service, want := range map[string][]Class{"a": {{0, 300}, {2, 800}}, "b": {{0, 300}}, "c": nil, "d": nil} {
		if got := c.Classes(service); !reflect.DeepEqual(got, want) {
			t.Errorf("service %s: %v, want %v", service, got, want)
		}
	}
}
