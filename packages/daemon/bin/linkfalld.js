#!/usr/bin/env node
// Committed, so that installing can link it before anything is built.
import "../dist/main.js";
