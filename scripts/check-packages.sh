#!/usr/bin/env bash
# Checks the package list of deploy/system.toml, the only packages on the users' machines, against the
# files that a build of the deployed program uses: those that its configure step reads (with the
# options of `build`), the headers that its objects include (as the release build recorded them), the
# libraries that it links, and the tools that `build` calls. Each of these files must belong to a
# listed package or to a dependency of one, and each listed package must be needed. Every listed
# package must be in scripts/install-dependencies.sh too.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

grep '^packages' deploy/system.toml | grep -o '"[^"]*"' | tr -d '"' | sort >"$work/listed"
sed -n '/^packages=(/,/^)/p' scripts/install-dependencies.sh | sed '1d;$d' | tr -s ' \n' '\n' |
  grep . | sort >"$work/installed"
missing=$(comm -23 "$work/listed" "$work/installed")
if [ -n "$missing" ]; then
  echo "In deploy/system.toml but not in scripts/install-dependencies.sh: $missing" >&2
  exit 1
fi

# Runs the configure step of `build` in a temporary folder.
configure=$(sed -n 's/^build = "cmake -S \. -B target \(.*\) && cmake --build.*/\1/p' deploy/system.toml)
if [ -z "$configure" ]; then
  echo "deploy/system.toml: the configure step of build was not found" >&2
  exit 1
fi
# shellcheck disable=SC2086  # several options
cmake -S . -B "$work/configured" $configure >/dev/null
ninja -C "$work/configured" -t query build.ninja | sed 's/^ *|* *//' | grep '^/usr/' >"$work/files" || true

# Headers of the compiled objects, and the libraries that are linked.
ninja -C "$build" -t inputs posthatch-platform >"$work/inputs"
grep '\.o$' "$work/inputs" | sort >"$work/objects"
ninja -C "$build" -t deps | awk -v objects="$work/objects" '
  BEGIN { while ((getline line < objects) > 0) wanted[line] = 1 }
  /^[^ ].*: #deps/ { sub(/: #deps.*/, ""); use = ($0 in wanted) ; next }
  use && /^    \/usr\// { print substr($0, 5) }' >>"$work/files"
grep -E '^/usr/.*\.(a|so)' "$work/inputs" >>"$work/files" || true
for tool in cmake ninja c++ protoc pkg-config; do command -v "$tool" >>"$work/files"; done
sort -u "$work/files" | xargs -d '\n' readlink -f | sort -u >"$work/used"

# Prints lines PACKAGE FILE for the files on its input. dpkg lists a file under the path that its
# package contains, with or without a leading /usr.
owners() {
  xargs -d '\n' dpkg-query -S 2>/dev/null | sed 's/^\([^:]*\):[^/]*/\1 /'
}
{ owners <"$work/used" || true; } >"$work/owners"
cut -d' ' -f2- "$work/owners" | tr -d ' ' | sort -u | comm -23 "$work/used" - | sed 's|^/usr||' >"$work/others"
{ owners <"$work/others" || true; } >>"$work/owners"
unowned=$(cut -d' ' -f2- "$work/owners" | tr -d ' ' | sort -u | comm -23 "$work/others" - )
if [ -n "$unowned" ]; then
  echo "The build reads files that no package owns:" >&2
  echo "$unowned" >&2
  exit 1
fi
cut -d' ' -f1 "$work/owners" | sort -u >"$work/needed"

closure() {
  apt-cache depends --recurse --installed --no-recommends --no-suggests --no-conflicts --no-breaks \
    --no-replaces --no-enhances "$@" | grep -v '^[ |<]' | cut -d: -f1 | sort -u
}
dpkg-query -W -f='${Package} ${Essential} ${Priority}\n' | awk '$2 == "yes" || $3 == "required" { print $1 }' |
  sort -u >"$work/essential"
# shellcheck disable=SC2046  # a list of names
closure $(cat "$work/listed") | sort -u - "$work/essential" >"$work/available"
unlisted=$(comm -23 "$work/needed" "$work/available")
if [ -n "$unlisted" ]; then
  echo "Used by the build, but not provided by the packages in deploy/system.toml:" >&2
  grep -wFf <(echo "$unlisted") "$work/owners" >&2
  exit 1
fi
# A listed package is needed if the build reads its files, or if without it a package whose files the
# build reads would be missing.
unneeded=""
for package in $(comm -23 "$work/listed" "$work/needed"); do
  others=$(grep -vx "$package" "$work/listed")
  # shellcheck disable=SC2086
  closure $others | sort -u - "$work/essential" >"$work/without"
  [ -n "$(comm -23 "$work/needed" "$work/without")" ] || unneeded="$unneeded $package"
done
if [ -n "$unneeded" ]; then
  echo "In deploy/system.toml, but not needed by the build:$unneeded" >&2
  exit 1
fi
echo "packages: $(wc -l <"$work/listed") listed, all needed; the build reads files of $(wc -l <"$work/needed"), all provided by them"
