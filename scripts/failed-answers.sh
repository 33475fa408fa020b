#!/usr/bin/env bash
# Lists the jobs that were answered as failed in the log of a play, with the failed ends of
# their tasks, and marks answers without enough of them. Lines that an instance had not yet
# written when it was killed are missing.
#
#   fleetbench run SITE DAY --log all >LOG 2>&1; scripts/failed-answers.sh LOG
set -euo pipefail

log=${1:?usage: scripts/failed-answers.sh LOG}

awk '
function field(name,  m) {
	return match($0, " " name "=(\"[^\"]*\"|[^ ]*)") ? unquoted(substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2)) : ""
}
function unquoted(s) { gsub(/^"|"$/, "", s); return s }
function add(list, key, item) {
	if (!((key, item) in seen)) { seen[key, item] = 1; list[key] = list[key] "\n    " item; return 1 }
	return 0
}
/ code=LC2089 / { # run 1 at ENDPOINT: end 7 since its start at TIME
	logged++
	task = field("subject"); split(field("detail"), w, / |: /)
	if (add(pairs, task, w[2] " " w[4])) ends[task]++
	add(listed, task, "listed by " field("instance") ": " field("detail"))
}
/ code=LC2090 / { # run 1 at ENDPOINT, held by HOLDER: 1 of 2
	task = field("subject"); n = split(field("detail"), w, " ")
	attempts[task] = w[n]
	add(counted, task, "counted by " field("instance") ": " field("detail"))
}
/ code=LC2041 .*LC1013 / {
	answer[++answers] = "instance " field("instance") " at " $1 " s: " field("detail")
	match($0, /task [^ ]+ (failed [0-9]+ times|crashes endpoints)/)
	split(substr($0, RSTART, RLENGTH), w, " ")
	name[answers] = w[2]; crashed[answers] = w[3] == "crashes"; claimed[answers] = w[4]
}
END {
	for (i = 1; i <= answers; i++) {
		task = name[i]; mark = ""
		needed = task in attempts ? attempts[task] : claimed[i] + 0
		if (crashed[i]) mark = "GIVEN UP FOR CRASHES "
		else if (!logged) mark = "NO ENDS LOGGED "
		else if (ends[task] + 0 < needed) mark = "TOO FEW ENDS (" ends[task] + 0 " of " needed ") "
		if (mark != "") marked++
		print mark "task " task ", " answer[i] listed[task] counted[task]
	}
	printf "%d answers of failed, %d marked\n", answers, marked
}' "$log"
