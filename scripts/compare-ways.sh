#!/usr/bin/env bash
# Plays several versions on the same days and seeds, side by side, and prints the paired
# differences to the first version with their standard errors.
#
#   compare-ways.sh [-j N] [-n] [-u S] -s SITE -d "DAY..." -r "SEED..." REV REV...
#
#   -s  a site file; -d days: names in the site file, or day files; -r seeds
#       ("0" plays a day with its own seed)
#   -j  plays at a time (default 3); all versions of one day and seed share a batch,
#       so that load on the computer falls on all of them
#   -n  charges no processor time (fleetbench --no-cpu)
#   -u  plays only the first S seconds of each day
#   -p  "SITE DAY SEED" or "SITE DAY SEED UNTIL" lines from a file instead of -s, -d, -r
#
# A version is a commit, or "." for the work tree as it stands. Run it at the root of the
# project, with the path of fleetbench in FLEETBENCH. Journal entries of all plays are copied into journal/, whatever they show.
# WHY="..." becomes their --why. A difference counts as shown beyond two standard errors
# and 0.005, with at least three pairs. Each cell has the worth and, in parentheses, the
# processor seconds of all instances.
set -euo pipefail
usage() { sed -n '2,22s/^# \{0,1\}//p' "$0" >&2; exit 2; }
jobs=3 nocpu= until= site= days= seeds= plan=
while getopts j:nu:s:d:r:p: o; do case $o in
  j) jobs=$OPTARG ;; n) nocpu=--no-cpu ;; u) until=$OPTARG ;; s) site=$(realpath "$OPTARG") ;; d) days=$OPTARG ;;
  r) seeds=$OPTARG ;; p) plan=$(realpath "$OPTARG") ;; *) usage ;; esac; done
shift $((OPTIND - 1)); [ $# -ge 1 ] || usage
[ -n "$plan" ] || { [ -n "$site" ] && [ -n "$days" ] && [ -n "$seeds" ] || usage; }
root=$(git rev-parse --show-toplevel)
bench=${FLEETBENCH:?set it to the path of fleetbench}
tmp=$(mktemp -d); trap 'rm -rf "$tmp"' EXIT
i=0
for rev in "$@"; do
  d=$tmp/v$i; git clone -q --no-local "$root" "$d"
  if [ "$rev" = . ]; then
    (cd "$root" && git ls-files -z -co --exclude-standard | xargs -0 tar -c --ignore-failed-read 2>/dev/null) | tar -x -C "$d"
  else git -C "$d" checkout -q "$(git -C "$root" rev-parse "$rev")"; fi
  (cd "$d" && "$bench" build >"$tmp/build$i" 2>&1) || { cat "$tmp/build$i"; exit 1; }
  i=$((i + 1))
done
if [ -z "$plan" ]; then
  plan=$tmp/plan; for s in $seeds; do for d in $days; do
    [ -f "$d" ] && d=$(realpath "$d"); echo "$site $d $s $until"; done; done >"$plan"
fi
play() { # version site day seed until
  local seed=(); [ "$4" = 0 ] || seed=(--seed "$4")
  local until=(); [ -z "${5:-}" ] || until=(--until "$5")
  local out; out=$(cd "$tmp/v$1" && "$bench" run "$2" "$3" ${seed[@]+"${seed[@]}"} ${until[@]+"${until[@]}"} $nocpu --why "${WHY:-compare}" 2>&1) || true
  local name; name=$(basename "$3" .toml)
  awk -v v="$1" -v s="$(basename "$2" .toml)" -v d="$name" -v r="$4" '
    !w && $2 ~ /^[0-9]+\// {w=$4} /BROKEN/ {b=1} /processor seconds/ {c=$2}
    END {print v, s, d, r, (w=="" ? "failed" : w), b+0, (c=="" ? 0 : c)}' <<<"$out" >>"$tmp/result"
  [ -z "${KEEP:-}" ] || { mkdir -p "$KEEP"; printf '%s\n' "$out" >"$KEEP/v$1-$(basename "$2" .toml)-$name-$4.txt"; }
}
: >"$tmp/result"
while read -r s d r u; do
  for ((v = 0; v < $#; v++)); do
    play "$v" "$s" "$d" "$r" "$u" &
    if [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; then wait -n || true; fi
  done
done <"$plan"
wait
for ((v = 0; v < $#; v++)); do
  (cd "$tmp/v$v" && git ls-files -o --exclude-standard journal; cd "$tmp/v$v" && git diff --name-only --diff-filter=A HEAD -- journal) | sort -u |
    while read -r f; do [ -e "$root/$f" ] || { mkdir -p "$root/$(dirname "$f")"; cp -r "$tmp/v$v/$f" "$root/$f"; }; done
done
sort -k2,4 -k1,1n "$tmp/result" | awk -v revs="$*" '
  BEGIN {n=split(revs, rev, " ")}
  {k=$2" "$3" "$4; if(!(k in seen)){seen[k]=1; ks[++m]=k} w[k,$1]=$5; cpu[k,$1]=$7; if($6) {bad[$1]++; badk[k,$1]=1}}
  END {
    printf "| site, day, seed |"; for(i=1;i<=n;i++) printf " %s |", rev[i]; print ""
    printf "|---|"; for(i=1;i<=n;i++) printf "---|"; print ""
    for(j=1;j<=m;j++){printf "| %s |", ks[j]; for(i=0;i<n;i++) printf " %s (%s)%s |", w[ks[j],i], cpu[ks[j],i], (badk[ks[j],i] ? " BROKEN" : ""); print ""}
    print ""
    for(i=1;i<n;i++){ c=0;s=0;q=0;t=0;u=0
      for(j=1;j<=m;j++){a=w[ks[j],0];b=w[ks[j],i]; if(a=="failed"||b=="failed"||a==""||b=="")continue; x=b-a;c++;s+=x;q+=x*x;t+=cpu[ks[j],0];u+=cpu[ks[j],i]}
      if(!c){printf "%s against %s: no pair\n", rev[i+1], rev[1]; continue}
      mean=s/c; se=(c>1 ? sqrt((q-c*mean*mean)/(c-1)/c) : 0); if(se<0)se=0
      verdict=(c<3 ? "too few pairs" : (mean>2*se && mean>0.005 ? "better" : (mean<-2*se && mean<-0.005 ? "worse" : "no difference shown")))
      printf "%s against %s: %+.4f, standard error %.4f, %d pairs: %s; processor time %+.1f %%; plays with a broken rule %d, %d\n", rev[i+1], rev[1], mean, se, c, verdict, (t ? 100*(u/t-1) : 0), bad[i]+0, bad[0]+0}
  }'
