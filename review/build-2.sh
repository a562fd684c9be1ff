#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start, into target/review-2/. Runs
# after the build of the deploy file, whose libraries it links.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Isrc -I. -DMSGPACK_NO_BOOST -DH2O_USE_LIBUV=0)
libraries=(target/libbulrushgw_net.a target/libbulrushgw_wire.a target/libbulrushgw_assignment.a
    target/libbulrushgw_routing.a target/libbulrushgw_ownership.a target/libbulrushgw_store.a
    target/libbulrushgw_common.a)
read -r -a system <<<"$(pkg-config --libs gflags libxxhash) -lh2o-evloop -lhttp_parser -lssl -lcrypto -lz -lpthread"
g++ "${flags[@]}" -c standins/platform_model.cpp -o "$out/platform_model.o"
for program in deployment replaced; do
    g++ "${flags[@]}" "review/standins-2/${program}_main.cpp" "$out/platform_model.o" "${libraries[@]}" "${system[@]}" -o "$out/$program"
done
for program in slow_reader trickle callers flood; do
    g++ "${flags[@]}" "review/standins-2/${program}_main.cpp" "${system[@]}" -o "$out/$program"
done
echo "stand-ins are in $out"
