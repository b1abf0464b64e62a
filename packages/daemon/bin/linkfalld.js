#!/usr/bin/env node
// Committed, so that installing can link it before anything is built.
import process from "node:process";

// Until the daemon listens for it, the signal of changed settings would end the process.
process.on("SIGHUP", () => undefined);
await import("../dist/main.js");
