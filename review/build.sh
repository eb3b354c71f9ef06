#!/usr/bin/env bash
# checks the stand-ins of this review, which are written for Python 3.11 without packages; nothing else is to be built
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in lib/*.py [1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
