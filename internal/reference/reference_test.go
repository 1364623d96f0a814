package reference

import (
	"bytes"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// Guards against a committed reference that is out of date, and against documenting
// errors that do not occur.
func TestReferenceIsCurrent(t *testing.T) {
	var want bytes.Buffer
	if err := Write(&want); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(File)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want.Bytes()) {
		t.Error("docs/configuration.md is out of date; run go generate ./internal/reference")
	}
}

// Guards against manifest fields that are missing from the reference, and against
// documented fields that do not exist.
func TestEveryFieldIsDocumented(t *testing.T) {
	documented := map[string]bool{}
	for _, f := range fields {
		documented[f.path] = true
	}
	var walk func(path string, typ reflect.Type)
	walk = func(path string, typ reflect.Type) {
		if typ.Kind() == reflect.Slice && typ.Elem().Kind() == reflect.Struct {
			path, typ = path+"[]", typ.Elem()
		}
		if typ.Kind() != reflect.Struct {
			return
		}
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			fieldPath := strings.TrimPrefix(path+"."+name, ".")
			if !documented[fieldPath] {
				t.Errorf("%s is not documented", fieldPath)
			}
			delete(documented, fieldPath)
			walk(fieldPath, typ.Field(i).Type)
		}
	}
	walk("", reflect.TypeFor[manifest.Manifest]())
	for path := range documented {
		t.Errorf("%s does not exist", path)
	}
}
