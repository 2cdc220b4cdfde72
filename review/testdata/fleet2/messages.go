package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"
)

// messages are the forms of the platform's messages, with its names: Go files outside of package
// platform must not have them.
//
//go:embed messages.json
var messages []byte

// form returns a new copy of a message.
func form(name string) map[string]any {
	var all map[string]map[string]any
	if err := json.Unmarshal(messages, &all); err != nil {
		panic(err) // the file is a part of the program
	}
	return all[name]
}

// fill sets the fields that a heartbeat has.
func fill(m map[string]any, addr string, born int64, service, zone string, slots int, state string, seq int) map[string]any {
	info, status := m["info"].(map[string]any), m["status"].(map[string]any)
	m["address"], m["born"] = addr, born
	info["service"], info["slots"] = service, slots
	status["state"], status["seq"] = state, seq
	if _, ok := info["zone"]; ok {
		info["zone"] = zone
	}
	return m
}

// heartbeatMessage returns a heartbeat without the lists of keys.
func heartbeatMessage(addr string, born int64, service, zone string, slots int, state string, seq int) map[string]any {
	return fill(form("heartbeat"), addr, born, service, zone, slots, state, seq)
}

// foreignMessage returns a heartbeat of another writer, in which fields are missing.
func foreignMessage(addr string, born int64, service string, slots int, state string, seq int) map[string]any {
	return fill(form("foreign"), addr, born, service, "", slots, state, seq)
}

// decodeGrants decodes the answer to a heartbeat. granted is not set if it lists no keys.
func decodeGrants(text []byte) (rows []held, ttl time.Duration, granted bool, err error) {
	var answer map[string]json.RawMessage
	if err := json.Unmarshal(text, &answer); err != nil {
		return nil, 0, false, err
	}
	for name, shape := range form("grants") {
		raw, ok := answer[name]
		if !ok {
			return nil, 0, false, nil
		}
		if _, isList := shape.([]any); isList {
			rows, err = decodeRows(raw)
		} else {
			var ms int64
			err = json.Unmarshal(raw, &ms)
			ttl = time.Duration(ms) * time.Millisecond
		}
		if err != nil {
			return nil, 0, false, err
		}
	}
	return rows, ttl, true, nil
}

func decodeRows(raw json.RawMessage) ([]held, error) {
	var list [][]json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, err
	}
	var rows []held
	for _, row := range list {
		var h held
		if len(row) < 3 || json.Unmarshal(row[0], &h.from) != nil || json.Unmarshal(row[1], &h.to) != nil || json.Unmarshal(row[2], &h.fence) != nil {
			return nil, fmt.Errorf("row %s", row)
		}
		rows = append(rows, h)
	}
	return rows, nil
}
