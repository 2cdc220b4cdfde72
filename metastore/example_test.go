package metastore_test

import (
	"errors"
	"fmt"

	"github.com/parsleystack/parsleystack/metastore"
)

// The error of a failed conditional append holds the end of the partition.
func Example() {
	err := fmt.Errorf("append: %w", &metastore.ConditionError{End: 7})
	var condition *metastore.ConditionError
	fmt.Println(errors.As(err, &condition), condition.End)
	// Output: true 7
}
