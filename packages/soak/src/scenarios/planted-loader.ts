/** Module loader that applies a mutation to compiled files as they are loaded; files on disk are unchanged. */
import { register } from "node:module";
import { editsOf, plantedFaults, plantedLine } from "./planted-faults.js";

const fault = plantedFaults.find((entry) => entry.name === process.env.LINKFALL_PLANTED);
if (!fault) throw new Error(`unknown planted fault: ${process.env.LINKFALL_PLANTED}`);

const edits = editsOf(fault).map(({ file, find, replace }) => ({
  file,
  find,
  replace,
  // Runs with the changed file, and so proves that the change is in effect.
  announcement: `\nprocess.stdout.write(${JSON.stringify(`${plantedLine(file)}\n`)});`,
}));

const hooks = `
  const edits = ${JSON.stringify(edits)};
  export async function load(url, context, next) {
    const loaded = await next(url, context);
    const edit = edits.find(({ file }) => url.endsWith("/packages/" + file));
    if (!edit) return loaded;
    const source = String(loaded.source);
    if (!source.includes(edit.find)) throw new Error("planted fault does not match the text of " + edit.file);
    return { ...loaded, source: source.replace(edit.find, () => edit.replace) + edit.announcement };
  }
`;
register(`data:text/javascript,${encodeURIComponent(hooks)}`);
