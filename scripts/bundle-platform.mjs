/** Bundles linkfalld for the users' platform into one file under target/, from the sources. */
import { build } from "esbuild";

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/linkfalld.cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  conditions: ["source"],
  logLevel: "warning",
});
