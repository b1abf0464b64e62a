/** Bundles linkfalld for the users' platform into target/, with a V8 code cache. */
import { copyFileSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { resolve } from "node:path";
import { build } from "esbuild";

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/linkfalld-body.js",
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
copyFileSync("platform/loader.cjs", "target/linkfalld.cjs");
rmSync("target/linkfalld-body.compiled", { force: true });

// Creates the cache after the script has run, so that it includes lazily compiled functions.
const { load, compiledFile } = createRequire(import.meta.url)(resolve("target/linkfalld.cjs"));
writeFileSync(compiledFile, load().script.createCachedData());
