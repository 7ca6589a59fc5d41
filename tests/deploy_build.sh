#!/usr/bin/env bash
# Plays the entrance of the users' platform on a copy of the tracked files: refused texts, the build
# line in a bare environment, what it produces and needs, and its processor time.
set -euo pipefail
source_folder=$(realpath "$1")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() {
    echo "deploy_build: $*" >&2
    exit 1
}

mkdir "$work/copy"
git -C "$source_folder" ls-files -z | (cd "$source_folder" && xargs -0 cp --parents -t "$work/copy")
cd "$work/copy"
value_of() { sed -n "s/^$1 = \(.*\)/\1/p" deploy/system.toml; }
build=$(value_of build | tr -d '"')
read -r -a run_words <<<"$(value_of run | tr -d '"')"
template=$(value_of template | tr -d '"')

scripts/check_sources . || fail "a source has a text that the platform refuses"
[ "$(stat -c %s "$template")" -lt 65536 ] || fail "the template has 64 KiB or more"

# Guards against a build that needs more processor time than a machine with one slow core has within
# the platform's limit. A unit is the compilation of one program, on all cores like the build.
limit_s=900
slowest_unit_s=12
most_units=$((limit_s / slowest_unit_s))
cat >"$work/unit.cpp" <<'UNIT'
#include <iostream>
#include <regex>
int main() { std::cout << std::regex_match("a", std::regex("a")); }
UNIT
TIMEFORMAT='%U %S'
processor_ms() { { time "$@" >"$work/log" 2>&1; } 2>&1 | tail -n 1 | awk '{ printf "%d", ($1 + $2) * 1000 }'; }
cores=$(nproc)
compile_units() {
    for ((core = 0; core < cores; core++)); do
        c++ -std=c++20 -O3 -c -o "$work/unit$core.o" "$work/unit.cpp" &
    done
    wait
}
unit_ms=$(($(processor_ms compile_units) / cores))

find . -type f | sort >"$work/before"
build_ms=$(processor_ms env -i PATH="$PATH" HOME=/nonexistent LANG=C \
    LDFLAGS="-Wl,-Map=$work/copy/target/link.map" sh -c "$build") || {
    tail -n 30 "$work/log" >&2
    fail "the build line fails"
}
[ -x "${run_words[0]}" ] || { cat "$work/log"; fail "the build did not make ${run_words[0]}"; }
find . -type f -not -path './target/*' | sort | diff - "$work/before" >&2 ||
    fail "the build wrote outside target/"
echo "deploy_build: $build_ms ms of processor time, unit $unit_ms ms, ratio $((build_ms / unit_ms)) of at most $most_units"
[ "$((build_ms / unit_ms))" -le "$most_units" ] || fail "the build takes too much processor time"

# Guards against a build that compiles code which the daemon does not run.
find target -name '*.cpp.o' -printf '%f\n' | sort -u >"$work/compiled"
grep -oE '[a-z0-9_]+\.cpp\.o' target/link.map | sort -u >"$work/linked"
comm -23 "$work/compiled" "$work/linked" >"$work/unused"
[ ! -s "$work/unused" ] || fail "compiled and not linked: $(tr '\n' ' ' <"$work/unused")"

# Guards against a build that needs what a clean machine does not have. It builds once more, since a build
# whose calls are traced takes longer.
"$source_folder/tests/deploy/check_packages.sh" "$source_folder" "$work/owned"
page=$source_folder/docs/build_inputs.tsv
if grep -qxF "# architecture	$(dpkg --print-architecture)" "$page"; then
    grep -v '^#' "$page" | cut -f 1 | sort -u >"$work/packages_on_page"
    cut -f 1 "$work/owned" | sort -u | diff "$work/packages_on_page" - >&2 ||
        fail "docs/build_inputs.tsv names other packages; run tests/deploy/list_inputs.sh ."
fi
