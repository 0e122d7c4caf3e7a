#!/bin/sh
here=$(CDPATH="" cd -- "$(dirname -- "$0")" && pwd)
exec "$here/../lib-2/run-case" "$here" SilentWatch
