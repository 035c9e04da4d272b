#!/bin/sh
# Plays this case; see claim.txt. Exit code: 1 broken, 0 held, 2 not run.
folder=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$folder")
cd "$folder/../.." || exit 2
[ -f "target/review/case_$number.py" ] && [ -d target/deps ] || {
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
}
exec python3 "target/review/case_$number.py" "$folder/record.txt"
