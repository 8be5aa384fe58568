#!/bin/bash
# Tests that scripts/lint gives the same verdict with an empty cache and with a full
# one, and that a source without findings isn't checked again. Works on a small
# repository of its own. A name of a case as argument runs only this case.
set -euo pipefail

project=$(cd "$(dirname "$0")/../.." && pwd -P)
clang_tidy=$(command -v clang-tidy)
work=$(mktemp -d)
work=$(cd "$work" && pwd -P)
trap 'rm -rf "$work"' EXIT
export PATH="$work/bin:$PATH" XDG_CACHE_HOME="$work/cache"
runs=$work/runs

# A clang-tidy that records each check. VERSION replaces its version, MESSAGE is
# printed by each check, and EDIT is a sed command that changes the source before.
makeWrapper() {
  mkdir -p "$work/bin"
  cat > "$work/bin/clang-tidy" << END
#!/bin/bash
[ "\$*" != --version ] || [ -z "\${VERSION:-}" ] || exec echo "\$VERSION"
case " \$* " in
  *" --quiet "*)
    echo "\${@: -1}" >> "$runs"
    [ -z "\${EDIT:-}" ] || sed -i "\$EDIT" "\${@: -1}"
    [ -z "\${MESSAGE:-}" ] || echo "\$MESSAGE" ;;
esac
exec "$clang_tidy" "\$@"
END
  chmod +x "$work/bin/clang-tidy"
}

# Writes the compilation database of the folder $1 with the options $2.
writeCommands() {
  local name
  for name in user other; do
    jq -n --arg root "$1" --arg file "$1/core/$name.cpp" --arg options "$2" \
      '{directory: "\($root)/build", file: $file,
        command: "/usr/bin/c++ -I\($root) \($options) -o x.o -c \($file)"}'
  done | jq -s . > "$1/build/compile_commands.json"
}

# Creates a repository with two sources without findings and an empty cache.
makeTree() {
  tree=$work/tree
  rm -rf "$tree" "$work/cache"
  mkdir -p "$tree/scripts" "$tree/core" "$tree/build"
  cp "$project"/scripts/lint* "$tree/scripts"
  cp "$project"/.clang-tidy "$tree"
  [ ! -e "$project/.clang-format" ] || cp "$project/.clang-format" "$tree"
  echo 'inline int half(int Value) { return Value / 2; }' > "$tree/core/half.h"
  cat > "$tree/core/user.cpp" << 'END'
#include "core/half.h"

int quarter(int Value) { return half(half(Value)); }
END
  echo 'int two() { return 2; }' > "$tree/core/other.cpp"
  writeCommands "$tree" -std=c++20
  git -C "$tree" init -q
  git -C "$tree" add core
}

fail() {
  echo "$case_name: $1" >&2
  cat "$work/output" >&2
  exit 1
}

lint() {
  : > "$runs"
  "$tree/scripts/lint" > "$work/output" 2>&1
}

expectClean() {
  lint || fail "a fault was reported in clean sources"
}

expectFault() {
  ! lint || fail "the fault was not found"
  grep -q "${1:-invalid case style}" "$work/output" || fail "another fault was found"
}

expectChecks() {
  [ "$(wc -l < "$runs")" -eq "$1" ] ||
    fail "$(wc -l < "$runs") sources were checked, $1 were expected"
}

fillCache() {
  expectClean
  expectChecks 2
}

faultWithEmptyCache() {
  echo 'int bad_name(int Value) { return Value; }' >> "$tree/core/user.cpp"
  expectFault
}

faultWithFullCache() {
  fillCache
  echo 'int bad_name(int Value) { return Value; }' >> "$tree/core/user.cpp"
  expectFault
  expectChecks 1
}

faultIsReportedAgain() {
  echo 'int bad_name(int Value) { return Value; }' >> "$tree/core/user.cpp"
  expectFault
  expectFault
  git -C "$tree" checkout -q core/user.cpp
  expectClean
  expectChecks 1
}

faultInHeader() {
  fillCache
  echo 'inline int bad_name(int Value) { return Value; }' >> "$tree/core/half.h"
  expectFault
  expectChecks 1
}

removedNolint() {
  echo 'int bad_name() { return 1; } // NOLINT' >> "$tree/core/user.cpp"
  fillCache
  sed -i 's| // NOLINT||' "$tree/core/user.cpp"
  expectFault
}

removedNolintInHeader() {
  echo 'inline int bad_name() { return 1; } // NOLINT' >> "$tree/core/half.h"
  fillCache
  sed -i 's| // NOLINT||' "$tree/core/half.h"
  expectFault
}

# The macro is unused, so the preprocessed text stays the same.
changedMacro() {
  echo '#define TWICE(X) (2 * (X))' >> "$tree/core/half.h"
  fillCache
  sed -i 's/(2 \* (X))/(2 * X)/' "$tree/core/half.h"
  expectFault bugprone-macro-parentheses
}

# The header that __has_include looks for isn't included.
appearingHeader() {
  cat >> "$tree/core/user.cpp" << 'END'
#if __has_include("core/optional.h")
int bad_name() { return 1; }
#endif
END
  fillCache
  touch "$tree/core/optional.h"
  expectFault
}

analyzerMacro() {
  cat >> "$tree/core/user.cpp" << 'END'
#ifdef __clang_analyzer__
#include "core/analyzer.h"
#endif
END
  echo 'inline int one() { return 1; }' > "$tree/core/analyzer.h"
  fillCache
  echo 'inline int bad_name() { return 1; }' > "$tree/core/analyzer.h"
  expectFault
}

changedOptions() {
  fillCache
  writeCommands "$tree" "-std=c++20 -Wunused-parameter -Werror"
  expectClean
  expectChecks 2
}

changedConfiguration() {
  fillCache
  sed -i 's/FunctionCase, value: camelBack/FunctionCase, value: CamelCase/' \
    "$tree/.clang-tidy"
  expectFault
}

changedVersion() {
  fillCache
  VERSION=1 expectClean
  expectChecks 2
}

changedScript() {
  fillCache
  echo '# End.' >> "$tree/scripts/lint_source"
  expectClean
  expectChecks 2
}

cleanSourceIsCheckedOnce() {
  fillCache
  expectClean
  expectChecks 0
  echo 'int three() { return 3; }' >> "$tree/core/other.cpp"
  expectClean
  expectChecks 1
}

otherFolder() {
  fillCache
  cp -r "$tree" "$work/copy"
  tree=$work/copy
  writeCommands "$tree" -std=c++20
  expectClean
  expectChecks 0
}

sourceWithoutCommand() {
  jq '[.[] | select(.file | endswith("/other.cpp"))]' \
    "$tree/build/compile_commands.json" > "$work/commands"
  cp "$work/commands" "$tree/build/compile_commands.json"
  fillCache
  expectClean
  expectChecks 1
}

messageOfSuccess() {
  MESSAGE="a message" expectClean
  expectClean
  expectChecks 2
}

editedDuringCheck() {
  echo 'int bad_name() { return 1; }' >> "$tree/core/user.cpp"
  EDIT=/bad_name/d expectClean
  echo 'int bad_name() { return 1; }' >> "$tree/core/user.cpp"
  expectFault
}

unwritableCache() {
  touch "$work/file"
  XDG_CACHE_HOME=$work/file expectClean
  expectChecks 2
  grep -q "can't be written" "$work/output" || fail "no warning was printed"
  echo 'int bad_name() { return 1; }' >> "$tree/core/user.cpp"
  XDG_CACHE_HOME=$work/file expectFault
}

unusedEntriesAreRemoved() {
  fillCache
  find "$work/cache" -type f -exec touch -d '40 days ago' {} +
  expectClean
  expectChecks 2
}

usedEntriesAreKept() {
  fillCache
  find "$work/cache" -type f -exec touch -d '20 days ago' {} +
  expectClean
  expectChecks 0
  [ -z "$(find "$work/cache" -type f -mtime +1)" ] || fail "the date is unchanged"
}

cases=(
  faultWithEmptyCache faultWithFullCache faultIsReportedAgain faultInHeader
  removedNolint removedNolintInHeader changedMacro appearingHeader analyzerMacro
  changedOptions changedConfiguration changedVersion changedScript
  cleanSourceIsCheckedOnce otherFolder sourceWithoutCommand messageOfSuccess
  editedDuringCheck unwritableCache unusedEntriesAreRemoved usedEntriesAreKept
)

makeWrapper
for case_name in "${@:-${cases[@]}}"; do
  makeTree
  "$case_name"
done
echo "lint_cache: passed"
