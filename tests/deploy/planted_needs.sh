#!/usr/bin/env bash
# Guards against a check of the deploy file's packages that passes although a clean machine could not build:
# plants each kind of need in a small project and expects the check to name it.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# make_project NAME PACKAGES [CMAKE_LINE...]: a project that includes and links libxxhash.
make_project() {
    local folder=$work/$1 packages=$2
    shift 2
    mkdir -p "$folder/deploy" "$folder/tests"
    cat >"$folder/deploy/system.toml" <<TOML
build = "cmake -S . -B target -G Ninja && cmake --build target"
packages = [$packages]
TOML
    printf '#include <xxhash.h>\nint main() { return XXH_versionNumber() == 0; }\n' >"$folder/main.cpp"
    echo 'int test_part() { return 0; }' >"$folder/tests/part.cpp"
    {
        printf '%s\n' 'cmake_minimum_required(VERSION 3.25)' 'project(planted LANGUAGES CXX)' \
            'add_executable(program main.cpp)' 'target_link_libraries(program xxhash)' "$@"
    } >"$folder/CMakeLists.txt"
    git -C "$folder" init -q
    git -C "$folder" add .
}
listed='"g++", "cmake", "ninja-build", "libxxhash-dev"'
archive=$(dpkg -L librapidcheck-dev | grep "/librapidcheck\.a$")
library=$(dpkg -L libcriterion-dev | grep "/libcriterion\.so$")

# expect TEXT NAME PACKAGES [CMAKE_LINE...]: the check must fail and print TEXT.
# An empty TEXT stands for success.
expect() {
    local text=$1 name=$2
    shift
    make_project "$@"
    local status=0
    "$here/check_packages.sh" "$work/$name" >"$work/$name.out" 2>&1 || status=$?
    if [ -z "$text" ] && [ "$status" -ne 0 ]; then
        echo "$name: the check fails: $(<"$work/$name.out")" >"$work/$name.wrong"
    elif [ -n "$text" ] && { [ "$status" -eq 0 ] || ! grep -qE -- "$text" "$work/$name.out"; }; then
        echo "$name: the check does not say '$text': $(<"$work/$name.out")" >"$work/$name.wrong"
    fi
}

expect "" complete "$listed" &
expect 'not require.*libxxhash-dev' unlisted_header '"g++", "cmake", "ninja-build"' &
expect 'the build fails' unlisted_program "$listed" \
    'execute_process(COMMAND git --version COMMAND_ERROR_IS_FATAL ANY)' &
expect 'not require.*git' unlisted_program_by_path "$listed" \
    'execute_process(COMMAND /usr/bin/git --version COMMAND_ERROR_IS_FATAL ANY)' &
wait
expect 'not require.*git' unlisted_program_looked_up "$listed" 'find_program(GIT git REQUIRED)' &
expect 'not require.*librapidcheck-dev' unlisted_archive "$listed" \
    "target_link_options(program PRIVATE -Wl,--whole-archive $archive -Wl,--no-whole-archive -pthread)" &
expect 'not require.*libcriterion-dev' unlisted_library "$listed" \
    "target_link_options(program PRIVATE -Wl,--no-as-needed $library)" &
expect 'not require.*libtrompeloeil' unlisted_file_read "$listed" \
    'file(GLOB found /usr/include/trompeloeil.hpp)' 'file(READ /usr/include/trompeloeil.hpp text LIMIT 10)' &
wait
expect 'the build fails' test_file "$listed" 'target_sources(program PRIVATE tests/part.cpp)' &
expect 'internet sockets' download "$listed" \
    'file(DOWNLOAD http://127.0.0.1:9/file ${CMAKE_BINARY_DIR}/file TIMEOUT 2)' &
expect 'outside target/' file_in_source "$listed" 'file(WRITE ${CMAKE_SOURCE_DIR}/made "text")' &
expect 'outside target/' file_elsewhere "$listed" "file(WRITE /tmp/planted_needs_$$ text)" 'file(REMOVE /tmp/planted_needs_'$$')' &
wait
expect 'the build fails' root "$listed" \
    'file(WRITE ${CMAKE_BINARY_DIR}/file "")' \
    'execute_process(COMMAND chown 0:0 ${CMAKE_BINARY_DIR}/file COMMAND_ERROR_IS_FATAL ANY)' &
expect 'nothing that curl adds' superfluous "$listed, \"curl\"" &
expect 'apt does not tell' unknown_package "$listed, \"no-such-package\"" &
wait

if cat "$work"/*.wrong 2>/dev/null; then
    exit 1
fi
echo "planted_needs: $(find "$work" -maxdepth 1 -name '*.out' | wc -l) cases"
