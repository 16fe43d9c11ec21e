#!/usr/bin/env bash
# Runs clang-tidy over the project's sources in parallel; warnings are errors (.clang-tidy).
# Clean results are cached: a file is checked again only if something that it is compiled from has
# changed. Its cache key is the hash of the linter's version and settings, the compile command and the
# contents of the source and of every header that it includes, as the build recorded them
# (`ninja -t deps`). Lines of the project's files that consist of a // comment are left out of the hash,
# since no enabled check reads them, except those with NOLINT.
# Usage: scripts/lint.sh [--no-cache] [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
cache=${POSTHATCH_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/posthatch-lint}
if [ "${1:-}" = --no-cache ]; then
  cache=$(mktemp -d)
  shift
fi
mkdir -p "$cache"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
if [ $# -gt 0 ]; then
  printf '%s\n' "$@" >"$work/files"
else
  git ls-files 'src/*.cc' 'platform/*.cc' | grep -v -- '-fuzz\.cc$' >"$work/files"
fi

# Writes a line "SOURCE DEPENDENCY" for each dependency of each object of the build.
ninja -C "$build" -t deps | awk -v root="$PWD/" '
  /^[^ ].*: #deps/ { source = "" ; next }
  /^    / {
    file = substr($0, 5)
    if (source == "") source = file
    name = source
    if (index(name, root) == 1) name = substr(name, length(root) + 1)
    sub(/^(\.\.\/)+/, "", name)
    print name "\t" file
  }' >"$work/dependencies"
cut -f2 "$work/dependencies" | sort -u >"$work/included"
(cd "$build" && grep '^/usr/' "$work/included" | xargs -d '\n' sha256sum) >"$work/hashes"
# Lines in the format of sha256sum: HASH, two spaces, FILE.
(cd "$build" && grep -v '^/usr/' "$work/included" | while read -r file; do
  printf '%s  %s\n' "$(sed -E '/NOLINT/!{/^[[:space:]]*\/\//d}' "$file" | sha256sum | cut -d' ' -f1)" "$file"
done) >>"$work/hashes"
sha256sum .clang-tidy | cut -d' ' -f1 >"$work/common"
clang-tidy --version >>"$work/common"
# The compile commands without the path of this checkout, since the result does not depend on it.
sed "s|$PWD||g" "$build/compile_commands.json" | tr -d '\n' | sed 's/},/},\n/g' >"$work/commands"

# Writes for each source a file with the hashes that its cache key is computed from.
mkdir "$work/keys"
awk -v keys="$work/keys" -v root="$PWD/" -F'\t' '
  FILENAME ~ /hashes$/ { hash[substr($0, 67)] = substr($0, 1, 64); next }
  FILENAME ~ /files$/ { wanted[$0] = 1; next }
  wanted[$1] { path = $1; gsub("/", "%", path); out = keys "/" path
               print hash[$2] >> out; if (out != last) { if (last != "") close(last); last = out } }
' "$work/hashes" "$work/files" "$work/dependencies"

: >"$work/todo"
: >"$work/known"
while read -r file; do
  list="$work/keys/${file//\//%}"
  if [ ! -s "$list" ]; then
    echo "$file is not compiled by the release build: build it first" >&2
    exit 1
  fi
  { cat "$work/common" "$list"; grep -F "$file" "$work/commands"; } >"$list.all"
done <"$work/files"
(cd "$work/keys" && sha256sum -- *.all) | sed 's/\.all$//; s/%/\//g' |
  while read -r key file; do
    if [ -e "$cache/$key" ]; then echo "$file" >>"$work/known"; else echo "$key $file" >>"$work/todo"; fi
  done

# Caches a result only if none of the project's files that the source depends on changed meanwhile.
touch "$work/started"
lint_one() {
  local key=$1 file=$2
  clang-tidy -p "$build" --quiet "$file" 2>/dev/null || return 1
  local changed
  changed=$(awk -F'\t' -v file="$file" '$1 == file && $2 !~ /^\/usr\// { print $2 }' "$work/dependencies" |
    (cd "$build" && xargs -r -d '\n' -I{} find {} -newer "$work/started" 2>/dev/null))
  [ -n "$changed" ] || touch "$cache/$key"
}
export -f lint_one
export build cache work
# Sources with the most dependencies run first, so that no long job starts last.
while read -r key file; do
  echo "$(wc -l <"$work/keys/${file//\//%}") $key $file"
done <"$work/todo" | sort -rn | cut -d' ' -f2- |
  xargs -r -P "${POSTHATCH_LINT_JOBS:-$(nproc)}" -L 1 bash -c 'lint_one "$@"' lint
# Removes results that were cached more than a month ago.
find "$cache" -type f -mtime +30 -delete
echo "clang-tidy: $(wc -l <"$work/files") files clean ($(wc -l <"$work/known") of them cached)"
