package service_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/service"
)

// The first rule that matches a request applies.
func ExampleSpec_MethodFor() {
	spec := service.Spec{
		Name: "bookings",
		Key:  service.KeyRule{Source: service.KeyPathSegment, Segment: 0},
		Methods: []service.Method{
			{HTTPMethod: "GET", Idempotent: true, Timeout: 2 * time.Second},
			{HTTPMethod: "*", PathPrefix: "/rooms/", Timeout: 5 * time.Second},
		},
	}
	fmt.Println(spec.Divided())
	fmt.Println(spec.MethodFor("GET", "/rooms/12").Idempotent)
	fmt.Println(spec.MethodFor("POST", "/rooms/12").Timeout)
	fmt.Println(spec.MethodFor("POST", "/other") == nil)
	// Output:
	// true
	// true
	// 5s
	// true
}
