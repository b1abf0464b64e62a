/** Loaded before the soak: changes one compiled file as it is read, and nothing on disk. */
import { register } from "node:module";
import { plantedFaults } from "./planted-faults.js";

const fault = plantedFaults.find((entry) => entry.name === process.env.LINKFALL_PLANTED);
if (!fault) throw new Error(`no planted fault ${process.env.LINKFALL_PLANTED}`);

const edits = fault.alsoEdit ? [fault, fault.alsoEdit] : [fault];

const hooks = `
  const edits = ${JSON.stringify(edits)};
  export async function load(url, context, next) {
    const loaded = await next(url, context);
    const edit = edits.find(({ file }) => url.endsWith("/packages/" + file));
    if (!edit) return loaded;
    const source = String(loaded.source);
    if (!source.includes(edit.find)) throw new Error("planted fault does not fit: " + edit.file);
    return { ...loaded, source: source.replace(edit.find, () => edit.replace) };
  }
`;
register(`data:text/javascript,${encodeURIComponent(hooks)}`);
process.stdout.write(`planted ${fault.name}\n`);
