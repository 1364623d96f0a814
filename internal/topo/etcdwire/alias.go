package etcdwire

import (
	"bytes"
	"encoding/json"
	"errors"
)

// The gateway accepts field names in snake case and in lower camel case. The request
// types with names of several words therefore accept both.

// UnmarshalJSON accepts both spellings of the field names.
func (r *RangeRequest) UnmarshalJSON(text []byte) error {
	type plain RangeRequest
	return unmarshalEitherCase(text, (*plain)(r))
}

// UnmarshalJSON accepts both spellings of the field names.
func (r *PutRequest) UnmarshalJSON(text []byte) error {
	type plain PutRequest
	return unmarshalEitherCase(text, (*plain)(r))
}

// UnmarshalJSON accepts both spellings of the field names.
func (r *DeleteRangeRequest) UnmarshalJSON(text []byte) error {
	type plain DeleteRangeRequest
	return unmarshalEitherCase(text, (*plain)(r))
}

// UnmarshalJSON accepts both spellings of the field names.
func (r *Compare) UnmarshalJSON(text []byte) error {
	type plain Compare
	return unmarshalEitherCase(text, (*plain)(r))
}

// UnmarshalJSON accepts both spellings of the field names.
func (r *RequestOp) UnmarshalJSON(text []byte) error {
	type plain RequestOp
	return unmarshalEitherCase(text, (*plain)(r))
}

// UnmarshalJSON accepts both spellings of the field names.
func (r *WatchRequest) UnmarshalJSON(text []byte) error {
	type plain WatchRequest
	return unmarshalEitherCase(text, (*plain)(r))
}

// UnmarshalJSON accepts both spellings of the field names.
func (r *WatchCreateRequest) UnmarshalJSON(text []byte) error {
	type plain WatchCreateRequest
	return unmarshalEitherCase(text, (*plain)(r))
}

// unmarshalEitherCase decodes an object whose field names are in snake case or in lower
// camel case. It tries snake case first, as converting the names copies the values, which
// may be large.
func unmarshalEitherCase(text []byte, into any) error {
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

// Decode decodes one request. An unknown field is an error, because ignoring it would
// change the meaning of the request.
func Decode(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if d.More() {
		return errTrailingData
	}
	return nil
}

var errTrailingData = errors.New("unexpected data after the request")

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
