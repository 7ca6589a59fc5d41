#!/bin/sh
# Builds the stand-ins of the scripted cases with the compiler and the JSON library of the deploy
# file's packages. Run it after the build of the deploy file, from any folder.
set -e
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
for name in past_jobs large_progress tenant_over_cap; do
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "$out/$name" "review/standin/$name.cpp"
done
