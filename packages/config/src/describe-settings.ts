/** The reference of all settings, written from the schemas so that it cannot fall behind. */
import { z } from "zod";
import { type SettingDefinition, settingSections } from "./keys.js";

interface JsonSchemaConstraints {
  readonly default?: unknown;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly enum?: readonly string[];
}

function constraintsOf(setting: SettingDefinition): JsonSchemaConstraints {
  return z.toJSONSchema(setting.schema, {
    io: "input",
    unrepresentable: "any",
  }) as JsonSchemaConstraints;
}

function formatBounds(constraints: JsonSchemaConstraints): string {
  if (constraints.enum) return constraints.enum.join(", ");
  if (constraints.minimum === undefined) return "";
  return `${constraints.minimum} to ${constraints.maximum}`;
}

function formatRow(name: string, setting: SettingDefinition): string {
  const constraints = constraintsOf(setting);
  const required = setting.schema.safeParse(undefined).success ? "" : "required";
  const defaultText = constraints.default === undefined ? required : String(constraints.default);
  return `| ${name} | ${setting.unit} | ${defaultText} | ${formatBounds(constraints)} | ${setting.description} |`;
}

/** All settings as Markdown tables, a section each. */
export function describeSettings(): string {
  const lines = ["# Settings", "", "Written by `linkfall check-settings --describe`.", ""];
  for (const [section, keys] of Object.entries(settingSections)) {
    lines.push(`## [${section}]`, "", "| key | unit | default | bounds | meaning |");
    lines.push("| --- | --- | --- | --- | --- |");
    for (const [name, setting] of Object.entries(keys)) lines.push(formatRow(name, setting));
    lines.push("");
  }
  return lines.join("\n");
}
