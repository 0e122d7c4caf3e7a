#!/bin/sh
# Builds the stand-ins and the cases of the second review, with the JDK alone.
set -eu
review=$(CDPATH='' cd -- "$(dirname -- "$0")" && pwd)
classes=$review/lib-2/target/classes
rm -rf "$classes"
mkdir -p "$classes"
find "$review/lib-2" "$review/6" "$review/7" "$review/8" "$review/9" -name '*.java' 2>/dev/null \
    | xargs javac -Xlint:all -d "$classes"
