#!/bin/sh
# Builds what the processes run into target/deps: the libraries, and the
# product compiled once, so that a start compiles nothing.
set -eu
deps=target/deps
if ! cmp -s deploy/requirements.txt "$deps/requirements.stamp"; then
  python3 -m pip install -q --disable-pip-version-check -U --target "$deps" \
    -r deploy/requirements.txt
  cp deploy/requirements.txt "$deps/requirements.stamp"
fi
rm -rf "$deps/quetzalmill" "$deps/quetzalmill_platform"
cp -r quetzalmill platform/quetzalmill_platform "$deps/"
python3 -m compileall -q "$deps/quetzalmill" "$deps/quetzalmill_platform"
