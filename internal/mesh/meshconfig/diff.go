package meshconfig

import (
	"fmt"
	"strings"
)

// Summary returns the numbers of items and the evacuated zones, for a log line.
func (c *Config) Summary() string {
	counts := make(map[string]int)
	for _, i := range c.items {
		if i.dropped() {
			counts["dropped"]++
		} else {
			counts[i.kind]++
		}
	}
	var parts []string
	for _, kind := range []string{routes, services, limits, customers, "dropped"} {
		if n := counts[kind]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, kind))
		}
	}
	if len(c.evacuatedZones) > 0 {
		parts = append(parts, "evacuated: "+strings.Join(c.evacuatedZones, " "))
	}
	if len(parts) == 0 {
		return "empty"
	}
	return strings.Join(parts, ", ")
}

// Diff describes the changes from a to b for people, with one line for each item and zone.
func Diff(a, b *Config) []string {
	var lines []string
	for _, i := range b.sortedItems() {
		old := a.items[i.key]
		switch {
		case old != nil && old.version == i.version && old.dropped() == i.dropped():
		case i.dropped() && (old == nil || old.dropped()):
			lines = append(lines, fmt.Sprintf("%v %s: dropped, didn't stand", i.key, i.versionText))
		case i.dropped():
			lines = append(lines, fmt.Sprintf("%v %s: dropped, was %s", i.key, i.versionText, old.versionText))
		case old == nil || old.dropped():
			lines = append(lines, fmt.Sprintf("%v %s: added", i.key, i.versionText))
		default:
			lines = append(lines, fmt.Sprintf("%v %s: changed, was %s", i.key, i.versionText, old.versionText))
		}
	}
	for _, i := range a.sortedItems() {
		if b.items[i.key] == nil {
			lines = append(lines, fmt.Sprintf("%v %s: forgotten", i.key, i.versionText))
		}
	}
	for _, zone := range b.evacuatedZones {
		if !a.Evacuated(zone) {
			lines = append(lines, fmt.Sprintf("zone %s: evacuated", zone))
		}
	}
	for _, zone := range a.evacuatedZones {
		if !b.Evacuated(zone) {
			lines = append(lines, fmt.Sprintf("zone %s: returned", zone))
		}
	}
	return lines
}
