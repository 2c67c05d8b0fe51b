package envdoc

import (
	"os"
	"path/filepath"
	"testing"
)

func TestExampleIsSound(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "pindan.ini"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse("pindan.ini", 1, b); err != nil {
		t.Error(err)
	}
}
