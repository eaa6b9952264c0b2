# Set NEWER to a Python of 3.12 or newer, if this machine has one; else to nothing.
NEWER=
for candidate in python3 python3.12 python3.13 python3.14 \
    $(pyenv root >/dev/null 2>&1 && ls -d "$(pyenv root)"/versions/3.1[2-9]*/bin/python3 2>/dev/null); do
    if "$candidate" -c 'import sys; sys.exit(sys.version_info < (3, 12))' 2>/dev/null; then
        NEWER=$("$candidate" -c 'import sys; print(sys.executable)')
        break
    fi
done
