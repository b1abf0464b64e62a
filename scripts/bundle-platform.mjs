/** Bundles linkfalld for the users' platform into target/, from the sources, with V8's compiled code. */
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
  // Less to read at each start; names stay, so that stacks in logs can be read.
  minifyWhitespace: true,
  minifySyntax: true,
  // Leaves out what libraries have for development only.
  define: { "process.env.NODE_ENV": '"production"' },
  logLevel: "warning",
});
copyFileSync("platform/loader.cjs", "target/linkfalld.cjs");
rmSync("target/linkfalld-body.compiled", { force: true });

// What has run once is compiled, also functions that V8 would compile only at their first call.
const { load, compiledFile } = createRequire(import.meta.url)(resolve("target/linkfalld.cjs"));
writeFileSync(compiledFile, load().script.createCachedData());
