# Shared by the scripts in this folder: chooses a JDK and builds where need be.
# Sets ROOT (the checkout), JAVA (the java command) and LIBRARIES (what a process's class path names).

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
LIBRARIES="$ROOT/distribution/target/lib"
REQUIRED_JAVA=21

java_feature_version() {
  "$1/bin/javac" -version 2>/dev/null | sed -n 's/^javac \([0-9]*\).*/\1/p'
}

choose_java() {
  local candidate version
  for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/*; do
    [ -n "$candidate" ] && [ -x "$candidate/bin/javac" ] || continue
    version="$(java_feature_version "$candidate")"
    if [ -n "$version" ] && [ "$version" -ge "$REQUIRED_JAVA" ]; then
      export JAVA_HOME="$candidate"
      JAVA="$JAVA_HOME/bin/java"
      return 0
    fi
  done
  echo "merlinwood needs a JDK $REQUIRED_JAVA or later: set JAVA_HOME to one" >&2
  exit 2
}

build_if_missing() {
  local newer
  if [ -d "$LIBRARIES" ]; then
    newer="$(find "$ROOT" -path '*/src/main/*' -newer "$LIBRARIES/.built" -print -quit 2>/dev/null || true)"
    [ -e "$LIBRARIES/.built" ] && [ -z "$newer" ] && return 0
  fi
  command -v mvn >/dev/null || { echo "merlinwood needs Maven 3.8 or later on the PATH" >&2; exit 2; }
  echo "building merlinwood (the first build takes a few minutes)" >&2
  (cd "$ROOT" && mvn -q -DskipTests package) >&2
  touch "$LIBRARIES/.built"
}

choose_java
