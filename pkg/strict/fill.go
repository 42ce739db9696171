package strict

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// fill stores a decoded value and reports what does not fit. If a value does
// not fit, its target keeps the zero value.
func (r *Result) fill(v reflect.Value, raw any, field string) {
	if target, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		r.fillText(target, raw, field)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		r.fillStruct(v, raw, field)
	case reflect.Slice:
		r.fillSlice(v, raw, field)
	case reflect.String:
		r.fillString(v, raw, field)
	case reflect.Bool:
		r.fillBool(v, raw, field)
	default:
		r.fillInt(v, raw, field)
	}
}

func (r *Result) fillStruct(v reflect.Value, raw any, field string) {
	table, ok := raw.(map[string]any)
	if !ok {
		r.wrongType(field, raw, "a table")
		return
	}
	if d, ok := v.Addr().Interface().(Defaulter); ok {
		d.SetDefaults()
	}
	for _, name := range slices.Sorted(maps.Keys(table)) {
		path := join(field, name)
		f, ok := v.Type().FieldByName(name)
		if !ok || !f.IsExported() {
			r.Report(path, "unknown field", strings.Join(fieldNames(v.Type()), ", "))
			continue
		}
		r.fill(v.FieldByIndex(f.Index), table[name], path)
	}
}

func (r *Result) fillSlice(v reflect.Value, raw any, field string) {
	list, ok := raw.([]any)
	if !ok {
		r.wrongType(field, raw, "an array")
		return
	}
	if len(list) == 0 {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list), len(list)))
	for i, element := range list {
		r.fill(v.Index(i), element, elementPath(field, i))
	}
}

func (r *Result) fillString(v reflect.Value, raw any, field string) {
	text, ok := raw.(string)
	if !ok {
		r.wrongType(field, raw, "a string")
		return
	}
	v.SetString(text)
}

func (r *Result) fillBool(v reflect.Value, raw any, field string) {
	b, ok := raw.(bool)
	if !ok {
		r.wrongType(field, raw, "true or false")
		return
	}
	v.SetBool(b)
}

func (r *Result) fillInt(v reflect.Value, raw any, field string) {
	n, ok := raw.(int64)
	if !ok {
		r.wrongType(field, raw, "an integer")
		return
	}
	if !v.CanInt() || v.OverflowInt(n) {
		r.Report(field, fmt.Sprintf("the value %d does not fit", n), "a smaller integer")
		return
	}
	v.SetInt(n)
}

func (r *Result) fillText(target encoding.TextUnmarshaler, raw any, field string) {
	text, ok := raw.(string)
	if !ok {
		r.wrongType(field, raw, "a string")
		return
	}
	if err := target.UnmarshalText([]byte(text)); err != nil {
		r.Report(field, fmt.Sprintf("%q is not a time span", text), `text such as "250ms" or "2s"`)
	}
}

func (r *Result) wrongType(field string, raw any, allowed string) {
	r.Report(field, "wrong type: "+describe(raw), allowed)
	r.mistyped[field] = true
}

func describe(raw any) string {
	switch raw.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case bool:
		return "a boolean"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	}
	return "a date or time"
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for _, f := range reflect.VisibleFields(t) {
		if f.IsExported() {
			names = append(names, f.Name)
		}
	}
	return names
}
