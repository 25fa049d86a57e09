#!/bin/sh
# Compiles the stand-ins of the scripts. They need Python 3.11 and its standard library only; none
# of the project's own stand-ins is started.
cd "$(dirname "$0")" && exec python3 -m compileall -q common 1 2 3 4 5
