#!/bin/sh
# Builds every program that the cases 6 to 10 start: the daemon, by the deploy file's command, and the project's own tool, which
# cases 7 to 9 ask who holds a duty. The stand-ins are the scripts in review/lib2, which need python3 and no build.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p gullcart -p cloverstile-wirehost
cargo build --release --locked -p gullcartctl
for python in /usr/bin/python3 python3; do
    if command -v "$python" >/dev/null; then
        exec "$python" -B -c 'import sys; sys.exit(0 if sys.version_info >= (3, 7) else 1)'
    fi
done
echo "python3 is not there" >&2
exit 1
