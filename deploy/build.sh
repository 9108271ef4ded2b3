#!/bin/sh
# Puts the proxy and the libraries that it needs under target/, byte-compiled.
set -eu
deps=target/deps
stamp=target/requirements.installed
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf "$deps"
  python3 -m pip install -q --no-deps --target "$deps" -r deploy/requirements.txt
  cp deploy/requirements.txt "$stamp"
fi
for source in \
  packages/jackdawcrank-policy/src/jackdawcrank_policy \
  packages/jackdawcrank-proxy/src/jackdawcrank \
  platform/src/jackdawcrank_platform; do
  rm -rf "$deps/$(basename "$source")"
  cp -R "$source" "$deps/"
done
python3 -m compileall -q "$deps"
