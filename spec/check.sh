#!/usr/bin/env bash
# Model-checks each specification exhaustively, and checks that spin rejects each of its mutants.
#
# A specification lists its mutants in lines `// MUTANT: NAME`; -DNAME selects a mutant.
# A line `// SPIN: ARGS` adds arguments for the verifier (for example -m200000).
# A line `// CFLAGS: ARGS` adds arguments for the compiler of the verifier.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

verify() { # SPEC [DEFINE]: prints the verifier's summary; exit 0 when no error was found
  local spec=$PWD/$1 define=${2:-} dir
  dir=$(mktemp -d -p "$work")
  local flags args
  flags=$(sed -n 's|^// CFLAGS: ||p' "$spec")
  args=$(sed -n 's|^// SPIN: ||p' "$spec")
  (
    cd "$dir"
    spin ${define:+-D"$define"} -a "$spec" >spin.log || { cat spin.log; exit 2; }
    gcc -O2 -w -DSAFETY -DNOREDUCE -DMEMLIM=8000 $flags -o pan pan.c
    ./pan $args >pan.log 2>&1 || true
    grep -q 'errors: 0' pan.log && ! grep -qE 'max search depth too small|out of memory|reached -DMEMLIM' pan.log && exit 0
    if grep -qE 'max search depth too small|out of memory|reached -DMEMLIM' pan.log; then cat pan.log; exit 3; fi
    grep -E 'errors: [1-9]' pan.log >/dev/null || { cat pan.log; exit 4; }
    exit 1
  )
}

failed=0
passed=0
shopt -s nullglob
for spec in *.pml; do
  if verify "$spec"; then
    echo "$spec: holds"
    passed=$((passed + 1))
  else
    echo "$spec: VIOLATED or not checked whole"
    failed=$((failed + 1))
  fi
  for mutant in $(sed -n 's|^// MUTANT: \([A-Z_0-9]*\).*|\1|p' "$spec"); do
    status=0
    verify "$spec" "$mutant" >"$work/mutant.log" || status=$?
    if [ "$status" = 1 ]; then
      echo "$spec: mutant $mutant rejected"
      passed=$((passed + 1))
    else
      echo "$spec: mutant $mutant NOT rejected (status $status)"
      cat "$work/mutant.log"
      failed=$((failed + 1))
    fi
  done
done
echo "specs: $passed passed, $failed failed"
[ "$failed" = 0 ]
