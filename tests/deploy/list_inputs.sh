#!/usr/bin/env bash
# Writes docs/build_inputs.md and docs/build_inputs.tsv: every file outside the source that the build of the
# deploy file uses, and the package that owns it. Usage: list_inputs.sh SOURCE_FOLDER
set -euo pipefail
source_folder=$1
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$here/check_packages.sh" "$source_folder" "$work/owned"
read -r -a packages <<<"$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' "$source_folder/deploy/system.toml" | tr -d '",')"

kind_of='
function kind_of(use, path) {
    if (use == "run") { return "tool" }
    if (path ~ /\.(so|a|o)(\.[0-9.]+)?$|\/lib[^\/]*\.so[^\/]*$/) { return "library" }
    if (path ~ /\/include\//) { return "header" }
    return "other"
}'
architecture=$(dpkg --print-architecture)
{
    printf '# architecture\t%s\n# package\tkind\tpath\n' "$architecture"
    awk -F'\t' -v OFS='\t' "$kind_of"'{ print $1, kind_of($2, $3), $3 }' "$work/owned" | sort
} >"$source_folder/docs/build_inputs.tsv"

# Which listed packages require a package; none for those that every Debian system has.
for package in "${packages[@]}"; do
    "$here/package_closure.sh" "$work/cache" "$package" | sed "s/\$/\t$package/"
done >"$work/required"
"$here/package_closure.sh" "$work/cache" >"$work/always"
{
    cat <<PAGE
# What the build on the users' platform uses

The build line of \`deploy/system.toml\` in a fresh copy of the tracked files, traced on $architecture by
\`tests/deploy/list_inputs.sh .\`, which writes this page. [build_inputs.tsv](build_inputs.tsv) names every
file with its package. CI traces the build anew and fails when it uses a package that the list does not
require (\`tests/deploy/check_packages.sh\`), or when this page names other packages.

The list: \`${packages[*]}\`.

Libraries are those that the daemon links and those that the tools load. "Other" are descriptions of packages for
CMake and pkg-config, and data of the tools. A package "of every system" is essential, or required by Debian's policy.

| package | required by | tools | libraries | headers | other |
| --- | --- | --- | --- | --- | --- |
PAGE
    awk -F'\t' '
        FILENAME == ARGV[1] { always[$1] = 1; next }
        FILENAME == ARGV[2] { by[$1] = by[$1] (by[$1] == "" ? "" : ", ") $2; next }
        /^#/ { next }
        $1 == "-" { $1 = "made at installation"; always[$1] = 1 }
        { count[$1, $2]++; names[$1] = 1 }
        END {
            for (name in names) {
                printf "| %s | %s | %d | %d | %d | %d |\n", name, (name in always ? "every system" : by[name]),
                    count[name, "tool"], count[name, "library"], count[name, "header"], count[name, "other"]
            }
        }' "$work/always" "$work/required" "$source_folder/docs/build_inputs.tsv" | sort
    printf '\n## Tools\n\n| tool | package |\n| --- | --- |\n'
    awk -F'\t' '$2 == "tool" { print "| `" $3 "` | " $1 " |" }' "$source_folder/docs/build_inputs.tsv" | sort
    printf '\n## Headers that the daemon includes by name\n\n| header | package |\n| --- | --- |\n'
    (cd "$source_folder" && git ls-files -z 'src/*' 'include/*' 'platform/*' 'daemons/*' |
        xargs -0 sed -nE 's/^#include <([^>]+)>.*/\1/p') | sort -u |
        awk -F'\t' 'NR == FNR { owner[$3] = $1; next }
            {
                found = ""
                for (path in owner) {
                    if (path ~ "/include/(.*/)?" $0 "$" && (found == "" || length(path) < length(found))) { found = path }
                }
                if (found != "") { print "| `" $0 "` | " owner[found] " |" }
            }' \
            "$source_folder/docs/build_inputs.tsv" - | grep -vE '\| (libstdc\+\+-12-dev|-) \|$'
} >"$source_folder/docs/build_inputs.md"
