package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

var tag = regexp.MustCompile(`\{\{([#^/]?)([^{}]+)\}\}`)

// scope is a level of names in a template; entry and key are set within a section over a list or table.
type scope struct {
	value any
	key   string
	last  bool
	outer *scope
}

// fill fills in a settings template as the platform does.
func fill(text string, fields map[string]any) string {
	out, _ := fillUntil(text, "", &scope{value: fields})
	return out
}

// fillUntil fills in the text up to the end tag of a section and returns the rest.
func fillUntil(text, end string, s *scope) (out, rest string) {
	var w strings.Builder
	for {
		m := tag.FindStringSubmatchIndex(text)
		if m == nil {
			return w.String() + text, ""
		}
		w.WriteString(text[:m[0]])
		kind, name := text[m[2]:m[3]], text[m[4]:m[5]]
		text = text[m[1]:]
		switch kind {
		case "/":
			if name == end {
				return w.String(), text
			}
		case "#", "^":
			inner := text
			for _, next := range sections(kind, s.find(name), s) {
				part, _ := fillUntil(inner, name, next)
				w.WriteString(part)
			}
			_, text = fillUntil(inner, name, s)
		default:
			w.WriteString(s.text(name))
		}
	}
}

// sections returns the scopes for which a section is rendered.
func sections(kind string, v any, s *scope) []*scope {
	isSet := v != nil && v != false
	if kind == "^" {
		if isSet {
			return nil
		}
		return []*scope{s}
	}
	var list []*scope
	switch v := v.(type) {
	case nil:
	case bool:
		if v {
			list = append(list, s)
		}
	case []any:
		for i, e := range v {
			list = append(list, &scope{value: e, key: strconv.Itoa(i), last: i == len(v)-1, outer: s})
		}
	case map[string]any:
		var keys []string
		for k := range v {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for i, k := range keys {
			list = append(list, &scope{value: v[k], key: k, last: i == len(keys)-1, outer: s})
		}
	default:
		list = append(list, s)
	}
	return list
}

// find returns the value of a name, or nil.
func (s *scope) find(name string) any {
	for level := s; level != nil; level = level.outer {
		v := level.value
		for part := range strings.SplitSeq(name, ".") {
			switch t := v.(type) {
			case map[string]any:
				v = t[part]
			case []any:
				i, err := strconv.Atoi(part)
				if err != nil || i >= len(t) {
					v = nil
				} else {
					v = t[i]
				}
			default:
				v = nil
			}
		}
		if v != nil {
			return v
		}
	}
	return nil
}

// text renders a placeholder.
func (s *scope) text(name string) string {
	switch name {
	case "@":
		return s.key
	case ".":
		return format(s.value)
	case ",":
		if s.last {
			return ""
		}
		return ","
	}
	if path, ok := strings.CutSuffix(name, "|json"); ok {
		data, _ := json.Marshal(s.find(path))
		return string(data)
	}
	return format(s.find(name))
}

func format(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case []any:
		var parts []string
		for _, e := range v {
			parts = append(parts, format(e))
		}
		return strings.Join(parts, ",")
	case map[string]any:
		data, _ := json.Marshal(v)
		return string(data)
	}
	return fmt.Sprint(v)
}
