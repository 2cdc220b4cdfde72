package sidecar

import (
	"strconv"
	"strings"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/metastore"
)

// eraSeparator separates the service from the era in the key of a table.
const eraSeparator = "@"

// tableKey returns the key of a service's assignment tables in an era of the store.
// Each era has its own key, so that an append which was meant for an earlier one and
// takes effect late does not hide the table in force from daemons that start later.
func tableKey(service ident.Service, era metastore.Era) string {
	key := ownersPrefix + string(service)
	if era > 0 {
		key += eraSeparator + strconv.FormatUint(uint64(era), 10)
	}
	return key
}

// tableService returns the service in the key of a table.
func tableService(key string) ident.Service {
	service, _, _ := strings.Cut(strings.TrimPrefix(key, ownersPrefix), eraSeparator)
	return ident.Service(service)
}
