#!/bin/sh
# Submits revisions of the questionnaire through four instances with one store.
set -u
cd "$(dirname "$0")/.." || exit 1
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

build=$1
dir=$build/e2e-questionnaire

# shellcheck source=tests/report.sh
. tests/report.sh
plan 10

# usage: ctl ENTRY ARGUMENT...
ctl() {
	ctl_entry=$1
	shift
	"$build/medlarctl" --server "http://$ctl_entry" "$@"
}

# Submits a file's section: submit ENTRY SECTION FILE BASE
submit() {
	ctl "$1" questionnaire submit "$3" --section "$2" --base "$4" \
		--token-file "$dir/$2.token" >>"$dir/submit.log" 2>&1
}

# Waits until all instances use a revision.
in_force_everywhere() {
	for entry in $fleet_entries
	do
		tries=0
		until curl -s -m 2 "http://$entry/v1/status" |
			grep -q "\"revision\":$1[,}]"
		do
			tries=$((tries + 1))
			test "$tries" -lt 200 || return 1
			sleep 0.1
		done
	done
}

# usage: edit FROM TO EXPRESSION
edit() {
	sed "$3" "$dir/$1" >"$dir/$2"
}

trap 'fleet_stop' EXIT
rm -rf "$dir"
fleet_prepare "$build" kraisorn "$dir" 23000
fleet_start || exit 1
# shellcheck disable=SC2086
set -- $fleet_entries
in_force_everywhere 1
result $? first_revision_is_in_force_everywhere

edit questionnaire.json a.json 's/"target_ms": 400/"target_ms": 410/'
submit "$1" product "$dir/a.json" 1
result $? edit_is_accepted
in_force_everywhere 2
result $? accepted_revision_is_in_force_everywhere

edit questionnaire.json b.json 's/"extra_load_percent": 5/"extra_load_percent": 6/'
edit a.json c.json 's/"coverage_percent": 90/"coverage_percent": 91/'
submit "$2" operations "$dir/b.json" 2 &
first=$!
submit "$3" product "$dir/c.json" 2 &
second=$!
wait "$first"
status=$?
wait "$second"
status=$((status + $?))
in_force_everywhere 4
status=$((status + $?))
ctl "$4" questionnaire show >"$dir/shown.json"
grep -q '"extra_load_percent": 6' "$dir/shown.json" &&
	grep -q '"coverage_percent": 91' "$dir/shown.json"
result $((status + $?)) concurrent_edits_of_two_sections_are_merged

edit a.json d.json 's/"target_ms": 410/"target_ms": 420/'
edit a.json e.json 's/"target_ms": 410/"target_ms": 430/'
submit "$1" product "$dir/d.json" 2
status=$?
submit "$2" product "$dir/e.json" 2
test $? -eq 4 && grep -q 'target_ms: yours is 430' "$dir/submit.log"
result $((status + $?)) concurrent_edits_of_one_answer_conflict

edit d.json f.json 's/"target_ms": 420/"target_ms": 20/'
submit "$1" product "$dir/f.json" 5
test $? -eq 1 && in_force_everywhere 5
result $? contradictory_answers_are_rejected

ctl "$1" questionnaire submit "$dir/a.json" --section product --base 5 \
	--token-file "$dir/operations.token" 2>/dev/null
result $(($? != 1)) role_cannot_change_the_other_section

fleet_control_post "$fleet_platform/knobs?down=1"
submit "$1" product "$dir/a.json" 5
status=$?
fleet_control_post "$fleet_platform/knobs?down=0"
test "$status" -ne 0 && in_force_everywhere 5
result $? edits_are_rejected_while_the_store_is_down

for entry in $fleet_entries
do
	tries=0
	until ctl "$entry" questionnaire show >/dev/null 2>&1
	do
		tries=$((tries + 1))
		test "$tries" -lt 300 || break
		sleep 0.1
	done
done
ctl "$3" questionnaire revert 1 --section product \
	--token-file "$dir/product.token" >/dev/null
status=$?
in_force_everywhere 6
status=$((status + $?))
ctl "$4" questionnaire show | grep -q '"target_ms": 400'
result $((status + $?)) revert_is_a_new_revision

test "$(ctl "$2" questionnaire history | wc -l)" -eq 6
result $? history_lists_every_revision

exit "$failed"
