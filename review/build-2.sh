#!/bin/sh
# Builds every program that the cases of this review start: the program of the deploy file and the project's own tool. The
# stand-ins are the scripts in review/lib2 and need no build; python3 has to be there.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p gullcart -p cloverstile-wirehost
cargo build --release --locked --offline -p gullcartctl
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 7) else 1)'
