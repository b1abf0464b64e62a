/** Generates the reference pages from the code: docs/SETTINGS.md and docs/EVENTS.md. */
import { writeFileSync } from "node:fs";
import { describeSettings } from "@linkfall/config";
import { describeEvents } from "@linkfall/logger";
import { format } from "prettier";

const pages = { "docs/SETTINGS.md": describeSettings(), "docs/EVENTS.md": describeEvents() };
for (const [path, text] of Object.entries(pages)) {
  writeFileSync(path, await format(text, { parser: "markdown", printWidth: 100 }));
}
