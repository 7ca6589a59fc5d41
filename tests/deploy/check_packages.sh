#!/usr/bin/env bash
# Fails when the build of the deploy file needs something that a clean machine does not have: a package
# that its list does not require, a test, a download, root, or a file outside of target/.
# Usage: check_packages.sh SOURCE_FOLDER [OWNERS_FILE]
# OWNERS_FILE gets one line for each file outside the source that the build ran, read or found: the
# package that owns it, a tab, `run` or `read`, a tab and the path.
set -euo pipefail
source_folder=$1
owners_file=${2:-}
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() {
    echo "check_packages: $*" >&2
    exit 1
}
first_lines() { head -n 5 "$1" | tr '\n' ' '; }

copy=$work/copy
mkdir "$copy"
git -C "$source_folder" ls-files -z | (cd "$source_folder" && xargs -0 cp --parents -t "$copy")
# The build needs no test and none of their tools.
rm -rf "$copy"/{tests,benchmark,docs,journal,scripts,tools,.ci}
read -r -a packages <<<"$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' "$copy/deploy/system.toml" | tr -d '",')"
[ "${#packages[@]}" -gt 0 ] || fail "deploy/system.toml lists no package"

cache=$work/apt
"$here/package_closure.sh" "$cache" "${packages[@]}" >"$work/closure" || fail "apt does not tell what the list requires"

# Programs of these packages alone. A link of update-alternatives counts by what it leads to.
mkdir "$work/programs_folder"
xargs -a "$work/closure" dpkg -L 2>/dev/null | grep -E '^(/usr)?/s?bin/[^/]+$' | sort -u >"$work/programs_of_list" || true
find /usr/bin /usr/sbin -maxdepth 1 -lname '/etc/alternatives/*' | while read -r link; do
    target=$(readlink -f "$link" || true)
    if grep -qxF -e "$target" -e "${target#/usr}" "$work/programs_of_list"; then echo "$link"; fi
done >"$work/alternatives"
sort -u "$work/programs_of_list" "$work/alternatives" | xargs ln -sf -t "$work/programs_folder"

find "$copy" -type f | sort >"$work/files_before"
status=0
"$here/trace_build.sh" "$copy" "$work" "$work/programs_folder" || status=$?
if [ "$status" -ne 0 ]; then
    tail -n 20 "$work/log" >&2
    fail "the build fails with the programs of the listed packages alone, without tests and without root"
fi
[ ! -s "$work/sockets" ] || fail "the build opens internet sockets: $(first_lines "$work/sockets")"
[ ! -s "$work/written" ] || fail "the build writes outside target/: $(first_lines "$work/written")"
find "$copy" -type f -not -path "$copy/target/*" | sort | comm -23 - "$work/files_before" >"$work/made"
[ ! -s "$work/made" ] || fail "the build writes outside target/: $(first_lines "$work/made")"
grep -v '^/' "$work/programs" >"$work/relative" || true
[ ! -s "$work/relative" ] || fail "the build runs a program by a relative path: $(first_lines "$work/relative")"

# Read wherever they are present, and needed nowhere: aliases of languages, by the C library, and names of
# folders of libraries, by the linker. A library from such a folder is seen by itself.
not_needed='^/(etc|usr/share/locale)/locale\.alias$|^/etc/ld\.so\.conf\.d/'
grep -vE "$not_needed" "$work/paths" | "$here/owners.sh" >"$work/owned"
[ -s "$work/owned" ] || fail "no file that the build read is known"
# Files that the system makes at installation, by programs of packages that every system has.
made_at_installation='^-	/etc/(ld\.so\.cache|passwd|group|nsswitch\.conf|localtime|timezone|host\.conf|hosts|resolv\.conf)$'
made_at_installation+='|^-	/usr/lib/(locale/locale-archive|[^/]*/gconv/gconv-modules\.cache)$'
grep '^-' "$work/owned" | grep -vE "$made_at_installation" >"$work/unowned" || true

# The binutils load every plugin of this folder, and its libraries, and need none.
find /usr/lib/bfd-plugins -type f -o -type l | while read -r plugin; do
    realpath -s "$plugin"
    ldd "$plugin" | sed -n 's|.*=> \(/[^ ]*\).*|\1|p'
done | "$here/owners.sh" | sort >"$work/plugins"
awk -F'\t' 'NR == FNR { listed[$1] = 1; next } !($1 in listed)' "$work/closure" "$work/plugins" |
    comm -13 - <(sort "$work/owned") >"$work/needed"
mv "$work/needed" "$work/owned"
grep -v '^-' "$work/owned" | cut -f 1 | sort -u >"$work/owners"
comm -23 "$work/owners" "$work/closure" >"$work/unlisted"
if [ -s "$work/unlisted" ]; then
    grep -wFf "$work/unlisted" "$work/owned" | head -n 10 >&2
    fail "the build uses packages that the list does not require: $(first_lines "$work/unlisted")"
fi
# Checked after the packages, since an unlisted program may read files that only this machine has.
[ ! -s "$work/unowned" ] || fail "the build reads files of no package: $(first_lines "$work/unowned")"

# Each listed package must matter, or the check could miss one that is not listed.
mkdir "$work/without"
for package in "${packages[@]}"; do
    mapfile -t others < <(printf '%s\n' "${packages[@]}" | grep -vxF "$package")
    "$here/package_closure.sh" "$cache" "${others[@]}" | comm -23 "$work/owners" - >"$work/without/$package" &
done
wait
for package in "${packages[@]}"; do
    [ -s "$work/without/$package" ] || fail "the build needs nothing that $package adds to the list"
    echo "check_packages: only $package brings $(first_lines "$work/without/$package")"
done
echo "check_packages: $(wc -l <"$work/owned") files of $(wc -l <"$work/owners") packages, all required by the list"
if [ -n "$owners_file" ]; then
    # A program is also read; it counts as run.
    "$here/owners.sh" <"$work/programs" | sort -u >"$work/ran"
    awk -F'\t' -v OFS='\t' 'NR == FNR { ran[$2] = 1; next } { print $1, ($2 in ran ? "run" : "read"), $2 }' \
        "$work/ran" "$work/owned" | sort >"$owners_file"
fi
