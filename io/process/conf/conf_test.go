package conf

import (
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/core/process/fleet"
)

func TestExamplesAreSound(t *testing.T) {
	tests := []struct {
		file string
		role fleet.Role
		want string
	}{
		{file: "entry.ini", role: fleet.RoleEntry, want: "127.0.0.1:8001"},
		{file: "side.ini", role: fleet.RoleSide, want: "127.0.0.1:5001"},
	}
	for _, tc := range tests {
		s, err := Load(filepath.Join("..", "..", "..", "examples", tc.file), tc.role, nil)
		if err != nil {
			t.Errorf("%s: %v", tc.file, err)
		}
		got := s.Listen.Callers.String()
		if tc.role == fleet.RoleSide {
			got = s.Target.Address.String()
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tc.file, diff)
		}
	}
}
