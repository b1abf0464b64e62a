/**
 * Generates each package's package.json and tsconfig.json from the imports in its sources.
 * Run `npm run sync` after an import of another package is added or removed.
 */
import { existsSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const packagesFolder = "packages";
const workspaceScope = "@linkfall/";
const workspaceVersion = "0.1.0";
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
    for (const match of text.matchAll(/from\s+["']([^."'][^"']*)["']/g)) {
      const parts = match[1].split("/");
      names.add(match[1].startsWith("@") ? parts.slice(0, 2).join("/") : parts[0]);
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
    name.startsWith(workspaceScope) ? workspaceVersion : libraryVersions[name],
  ]);
  return Object.fromEntries(versions);
}

for (const name of readdirSync(packagesFolder)) {
  const folder = join(packagesFolder, name);
  if (!existsSync(join(folder, "src"))) continue;
  const path = join(folder, "package.json");
  const manifest = existsSync(path) ? JSON.parse(readFileSync(path, "utf8")) : {};
  const sourceImports = importedNames(folder, false);
  const testImports = importedNames(folder, true).filter(
    (imported) => !sourceImports.includes(imported),
  );
  const imports = [...sourceImports, ...testImports].filter(
    (imported) => imported !== `@linkfall/${name}`,
  );
  const references = imports
    .filter((imported) => imported.startsWith(workspaceScope))
    .map((imported) => ({ path: `../${imported.slice(workspaceScope.length)}` }));
  writeJson(path, {
    name: `@linkfall/${name}`,
    version: "0.1.0",
    ...(manifest.private ? { private: true } : {}),
    description: manifest.description ?? "",
    license: "MIT",
    type: "module",
    exports: {
      ".": {
        source: "./src/index.ts",
        types: "./dist/index.d.ts",
        default: "./dist/index.js",
      },
    },
    ...(manifest.bin ? { bin: manifest.bin } : {}),
    files: manifest.bin ? ["bin", "dist", "src"] : ["dist", "src"],
    dependencies: versionsOf(sourceImports),
    ...(testImports.length > 0 ? { devDependencies: versionsOf(testImports) } : {}),
  });
  writeJson(join(folder, "tsconfig.json"), {
    extends: "../../tsconfig.base.json",
    compilerOptions: { rootDir: "src", outDir: "dist" },
    include: ["src"],
    references,
  });
}

/** Adapters to the users' platform: not a package, and optional for the build. */
const platformFolder = "platform";
if (existsSync(join(platformFolder, "src"))) {
  const imported = [
    ...importedNames(platformFolder, false),
    ...importedNames(platformFolder, true),
  ];
  const workspaceImports = [...new Set(imported)]
    .filter((name) => name.startsWith(workspaceScope))
    .sort();
  writeJson(join(platformFolder, "tsconfig.json"), {
    extends: "../tsconfig.base.json",
    compilerOptions: { rootDir: "src", outDir: "dist" },
    include: ["src"],
    references: workspaceImports.map((name) => ({
      path: `../packages/${name.slice(workspaceScope.length)}`,
    })),
  });
}
