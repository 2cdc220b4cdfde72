package metastore_test

import (
	"errors"
	"fmt"

	"github.com/parsleystack/parsleystack/metastore"
)

// A failed condition says where the partition ends.
func Example() {
	err := fmt.Errorf("append: %w", &metastore.ConditionError{End: 7})
	var condition *metastore.ConditionError
	fmt.Println(errors.As(err, &condition), condition.End)
	// Output: true 7
}
