#!/usr/bin/env bash
# Runs clang-format, cppcheck and clang-tidy on all sources except generated
# code.
set -u
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files 'src/*.[ch]' 'include/*.h' 'tests/*.[ch]' \
  'fuzz/*.[ch]' 'bench/*.[ch]' 'platform/*.[ch]' |
  grep -vE 'jt_(director_)?proto')
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.c$')
failed=0
clang-format --dry-run -Werror "${files[@]}" || failed=1
cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr \
  --enable=warning,performance,portability -j "$(nproc)" \
  --suppressions-list=.cppcheck -Iinclude "${sources[@]}" || failed=1
cmake -S . -B build-lint -G Ninja >/dev/null || exit 1
printf '%s\n' "${sources[@]}" | grep -v '^fuzz/' |
  xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p build-lint 2>/dev/null ||
  failed=1
exit $failed
