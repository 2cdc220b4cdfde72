package admin_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/parsleystack/parsleystack/admin"
)

func ExampleClient() {
	client := admin.NewClient("127.0.0.1:1", nil)
	_, err := client.Status(context.Background())
	var unreachable *admin.UnreachableError
	fmt.Println(errors.As(err, &unreachable))
	// Output:
	// true
}
