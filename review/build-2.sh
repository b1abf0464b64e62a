#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are plain modules, so that there is nothing to compile.
exit 0
