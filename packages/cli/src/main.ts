#!/usr/bin/env node
/** Entry point of the command-line tool. */
import { runLinkfall } from "./run.js";

process.exitCode = await runLinkfall(process.argv.slice(2), {
  stdin: process.stdin,
  stdout: process.stdout,
  stderr: process.stderr,
});
