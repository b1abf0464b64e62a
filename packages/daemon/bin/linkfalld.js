#!/usr/bin/env node
// Checked in, since package managers link executables at installation, before the build.
import process from "node:process";

// SIGHUP would terminate the process until the daemon installs its own handler.
process.on("SIGHUP", () => undefined);
await import("../dist/main.js");
