#!/usr/bin/env node
// Checked in, since package managers link executables at installation, before the build.
import "../dist/main.js";
