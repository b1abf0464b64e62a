/** The reference of all settings, written from the schemas so that it cannot fall behind. */
import { z } from "zod";
import { type SettingKey, settingSections } from "./keys.js";

interface JsonSchemaFacts {
  readonly default?: unknown;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly enum?: readonly string[];
}

function factsOf(setting: SettingKey): JsonSchemaFacts {
  return z.toJSONSchema(setting.schema, { io: "input", unrepresentable: "any" }) as JsonSchemaFacts;
}

function boundsOf(facts: JsonSchemaFacts): string {
  if (facts.enum) return facts.enum.join(", ");
  if (facts.minimum === undefined) return "";
  return `${facts.minimum} to ${facts.maximum}`;
}

function row(name: string, setting: SettingKey): string {
  const facts = factsOf(setting);
  const required = setting.schema.safeParse(undefined).success ? "" : "required";
  const standard = facts.default === undefined ? required : String(facts.default);
  return `| ${name} | ${setting.unit} | ${standard} | ${boundsOf(facts)} | ${setting.meaning} |`;
}

/** All settings as Markdown tables, a section each. */
export function describeSettings(): string {
  const lines = ["# Settings", "", "Written by `linkfall check-settings --describe`.", ""];
  for (const [section, keys] of Object.entries(settingSections)) {
    lines.push(`## [${section}]`, "", "| key | unit | default | bounds | meaning |");
    lines.push("| --- | --- | --- | --- | --- |");
    for (const [name, setting] of Object.entries(keys)) lines.push(row(name, setting));
    lines.push("");
  }
  return lines.join("\n");
}
