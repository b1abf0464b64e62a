/** Fills the settings template of the deploy file, as far as this project's template needs it. */
import { readFileSync } from "node:fs";

function lookUp(fields, path) {
  return path.split(".").reduce((value, name) => value?.[name], fields);
}

/** Replaces `{{a.b}}` by the value of the field; lists are joined by commas, missing values give nothing. */
function fill(template, fields) {
  return template.replace(/\{\{([a-z_.0-9]+)\}\}/g, (_, path) => {
    const value = lookUp(fields, path);
    if (value === undefined || value === null) return "";
    return Array.isArray(value) ? value.join(",") : String(value);
  });
}

/** Reads the start command and the settings template of the role from the deploy file. */
export function readDeployFile(root) {
  const text = readFileSync(`${root}/deploy/system.toml`, "utf8");
  const valueOf = (name) => new RegExp(`^${name} = "(.*)"$`, "m").exec(text)[1];
  const [program, ...args] = valueOf("run").split(" ");
  const template = readFileSync(`${root}/${valueOf("template")}`, "utf8");
  return { program, args, settingsText: (fields) => fill(template, fields) };
}
