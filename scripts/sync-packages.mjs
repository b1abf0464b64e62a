/**
 * Keeps each package's package.json and tsconfig.json in step with what its sources import.
 * Run `npm run sync` after an import of another package is added or removed.
 */
import { existsSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const packagesFolder = "packages";
const ownScope = "@linkfall/";
const ownVersion = "0.1.0";
const rootManifest = JSON.parse(readFileSync("package.json", "utf8"));
const libraryVersions = { ...rootManifest.devDependencies, ...rootManifest.dependencies };

function sourceFiles(folder) {
  return readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith(".ts"))
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name));
}

const isTest = (file) => file.endsWith(".steps.ts");

function importedNames(folder, tests) {
  const names = new Set();
  for (const file of sourceFiles(join(folder, "src")).filter((file) => isTest(file) === tests)) {
    const text = readFileSync(file, "utf8");
    for (const found of text.matchAll(/from\s+["']([^."'][^"']*)["']/g)) {
      const parts = found[1].split("/");
      names.add(found[1].startsWith("@") ? parts.slice(0, 2).join("/") : parts[0]);
    }
  }
  return [...names].filter((name) => !name.startsWith("node:")).sort();
}

function writeJson(path, value) {
  writeFileSync(path, `${JSON.stringify(value, null, 2)}\n`);
}

function versionsOf(names) {
  const versions = names.map((name) => [
    name,
    name.startsWith(ownScope) ? ownVersion : libraryVersions[name],
  ]);
  return Object.fromEntries(versions);
}

for (const name of readdirSync(packagesFolder)) {
  const folder = join(packagesFolder, name);
  if (!existsSync(join(folder, "src"))) continue;
  const path = join(folder, "package.json");
  const known = existsSync(path) ? JSON.parse(readFileSync(path, "utf8")) : {};
  const code = importedNames(folder, false);
  const tests = importedNames(folder, true).filter((imported) => !code.includes(imported));
  const others = [...code, ...tests].filter((imported) => imported !== `@linkfall/${name}`);
  const references = others
    .filter((imported) => imported.startsWith(ownScope))
    .map((imported) => ({ path: `../${imported.slice(ownScope.length)}` }));
  writeJson(path, {
    name: `@linkfall/${name}`,
    version: "0.1.0",
    ...(known.private ? { private: true } : {}),
    description: known.description ?? "",
    license: "MIT",
    type: "module",
    exports: {
      ".": {
        source: "./src/index.ts",
        types: "./dist/index.d.ts",
        default: "./dist/index.js",
      },
    },
    ...(known.bin ? { bin: known.bin } : {}),
    files: known.bin ? ["bin", "dist", "src"] : ["dist", "src"],
    dependencies: versionsOf(code),
    ...(tests.length > 0 ? { devDependencies: versionsOf(tests) } : {}),
  });
  writeJson(join(folder, "tsconfig.json"), {
    extends: "../../tsconfig.base.json",
    compilerOptions: { rootDir: "src", outDir: "dist" },
    include: ["src"],
    references,
  });
}

/** Adapters to the users' platform; not a package, and the rest builds without it. */
const platformFolder = "platform";
if (existsSync(join(platformFolder, "src"))) {
  const imported = [
    ...importedNames(platformFolder, false),
    ...importedNames(platformFolder, true),
  ];
  const own = [...new Set(imported)].filter((name) => name.startsWith(ownScope)).sort();
  writeJson(join(platformFolder, "tsconfig.json"), {
    extends: "../tsconfig.base.json",
    compilerOptions: { rootDir: "src", outDir: "dist" },
    include: ["src"],
    references: own.map((name) => ({ path: `../packages/${name.slice(ownScope.length)}` })),
  });
}
