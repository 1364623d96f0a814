package etcdwire

import (
	"bytes"
	"encoding/json"
	"errors"
)

// The gateway reads field names in snake case and in lower camel case. The
// request types with several words therefore read both.

// UnmarshalJSON reads both spellings of the field names.
func (r *RangeRequest) UnmarshalJSON(text []byte) error {
	type plain RangeRequest
	return unmarshalBoth(text, (*plain)(r))
}

// UnmarshalJSON reads both spellings of the field names.
func (r *PutRequest) UnmarshalJSON(text []byte) error {
	type plain PutRequest
	return unmarshalBoth(text, (*plain)(r))
}

// UnmarshalJSON reads both spellings of the field names.
func (r *DeleteRangeRequest) UnmarshalJSON(text []byte) error {
	type plain DeleteRangeRequest
	return unmarshalBoth(text, (*plain)(r))
}

// UnmarshalJSON reads both spellings of the field names.
func (r *Compare) UnmarshalJSON(text []byte) error {
	type plain Compare
	return unmarshalBoth(text, (*plain)(r))
}

// UnmarshalJSON reads both spellings of the field names.
func (r *RequestOp) UnmarshalJSON(text []byte) error {
	type plain RequestOp
	return unmarshalBoth(text, (*plain)(r))
}

// UnmarshalJSON reads both spellings of the field names.
func (r *WatchRequest) UnmarshalJSON(text []byte) error {
	type plain WatchRequest
	return unmarshalBoth(text, (*plain)(r))
}

// UnmarshalJSON reads both spellings of the field names.
func (r *WatchCreateRequest) UnmarshalJSON(text []byte) error {
	type plain WatchCreateRequest
	return unmarshalBoth(text, (*plain)(r))
}

// unmarshalBoth reads an object, if necessary after changing its field names to
// snake case. The first attempt avoids copies of large values.
func unmarshalBoth(text []byte, into any) error {
	if Decode(text, into) == nil {
		return nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	snake := make(map[string]json.RawMessage, len(fields))
	for name, value := range fields {
		snake[snakeCase(name)] = value
	}
	text, err := json.Marshal(snake)
	if err != nil {
		return err
	}
	return Decode(text, into)
}

// Decode reads one request. An unknown field is an error: ignoring it would
// change the meaning of the request.
func Decode(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if d.More() {
		return errTrailing
	}
	return nil
}

var errTrailing = errors.New("text after the request")

func snakeCase(name string) string {
	var out []byte
	for i := range len(name) {
		c := name[i]
		if c >= 'A' && c <= 'Z' {
			out = append(out, '_')
			c += 'a' - 'A'
		}
		out = append(out, c)
	}
	return string(out)
}
