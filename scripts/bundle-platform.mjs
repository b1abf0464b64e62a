/** Bundles linkfalld for the users' platform into target/, with a V8 code cache. */
import { copyFileSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { resolve } from "node:path";
import { build } from "esbuild";

const bodyFile = "target/linkfalld-body.js";
const loaderFile = "target/linkfalld.cjs";
/** Name under which a file is written before it replaces the former one. */
const newFileOf = (file) => `${file}.${process.pid}`;

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: newFileOf(bodyFile),
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  conditions: ["source"],
  // Shortens parsing at startup; identifiers stay readable in stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  // Drops development-only code of libraries.
  define: { "process.env.NODE_ENV": '"production"' },
  logLevel: "warning",
});
copyFileSync("platform/loader.cjs", newFileOf(loaderFile));
// Tests that run side by side read the bundle while another one writes it.
for (const file of [bodyFile, loaderFile]) renameSync(newFileOf(file), file);
rmSync("target/linkfalld-body.compiled", { force: true });

// Creates the cache after the script has run, so that it includes lazily compiled functions.
const { load, compiledFile } = createRequire(import.meta.url)(resolve(loaderFile));
writeFileSync(compiledFile, load().script.createCachedData());
