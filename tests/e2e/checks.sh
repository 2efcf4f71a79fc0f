# Functions that count checks, for the end-to-end tests. The caller sets passed and failed to 0 and prints them.

check() { # DESCRIPTION COMMAND...
    local what=$1
    shift
    if "$@" > /dev/null 2>&1; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "FAILED: $what"
    fi
}

equal() { [ "$1" = "$2" ] || { echo "expected '$2', got '$1'"; return 1; }; }
