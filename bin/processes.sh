# Starts processes for the scripts that read this file, and stops each by its own id at the end.
# The reader sets root (this project) and out (a directory for the run).

# Stops what this shell started and what still runs: first asked to, then, if it doesn't end within 10 s, killed. The
# shell's own list of jobs is used, since an id that was written down could belong to another process by now.
stop_started() {
  local pid tries
  for pid in $(jobs -pr); do kill -TERM "$pid" 2>/dev/null; done
  for tries in $(seq 100); do
    [ -z "$(jobs -pr)" ] && break
    sleep 0.1
  done
  for pid in $(jobs -pr); do kill -KILL "$pid" 2>/dev/null; done
  wait
  rm -f "$out/addresses.json"
} 2>/dev/null

stop_at_end() {
  trap '' INT TERM HUP
  stop_started
}
trap stop_at_end EXIT
trap 'exit 129' HUP
trap 'exit 130' INT
trap 'exit 143' TERM

build_what_is_missing() {
  local built="rattanrudder-standins/target/classpath.txt"
  if [ -f "$built" ] && [ -z "$(find . -path ./target -prune -o -newer "$built" \
    \( -path '*/src/main/*.java' -o -name pom.xml \) -print -quit)" ]; then
    return 0
  fi
  echo "building..." >&2
  mvn -B -ntp -q -DskipTests compile >&2
}

# fresh_directory: out, empty.
fresh_directory() {
  rm -rf "$out"
  mkdir -p "$out/logs"
}

# start_all: the stand-ins and the processes of the layout that was prepared in out.
start_all() {
  start standins bin/standins --plan "$out/standins.json"
  local settings
  for settings in "$out"/settings/*.json; do
    start "$(basename "$settings" .json)" bin/rattanrudderd --settings "$settings"
  done
}

# start NAME COMMAND...: in the background, its output in logs/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$out/logs/$name.log" 2>&1 </dev/null &
  echo "$! $name" >>"$out/pids"
}

# run COMMAND...: waits for a command that ends by itself, and still takes a signal to this script at once.
run() {
  "$@" &
  wait "$!"
}
