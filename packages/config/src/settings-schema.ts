/** The schema of a whole settings file, made from its keys. */
import { serviceName } from "@linkfall/kernel";
import { z } from "zod";
import { type SettingDefinition, settingSections } from "./keys.js";

type SectionSchemas<S extends Record<string, SettingDefinition>> = {
  [K in keyof S]: S[K]["schema"];
};

function sectionSchema<S extends Record<string, SettingDefinition>>(section: S) {
  const shape = Object.fromEntries(
    Object.entries(section).map(([keyName, setting]) => [keyName, setting.schema]),
  ) as SectionSchemas<S>;
  return z.strictObject(shape);
}

/** Checks a whole file; sections with defaults only may be left out, unknown keys are refused. */
export const settingsSchema = z.strictObject({
  box: sectionSchema(settingSections.box),
  platform: sectionSchema(settingSections.platform),
  operators: sectionSchema(settingSections.operators).prefault({}),
  membership: sectionSchema(settingSections.membership).prefault({}),
  lease: sectionSchema(settingSections.lease).prefault({}),
  callers: sectionSchema(settingSections.callers).prefault({}),
  targets: sectionSchema(settingSections.targets).prefault({}),
  routing: sectionSchema(settingSections.routing).prefault({}),
  placement: sectionSchema(settingSections.placement).prefault({}),
  tls: sectionSchema(settingSections.tls).prefault({}),
  log: sectionSchema(settingSections.log).prefault({}),
});

/** The checked settings of one box. */
export type Settings = z.infer<typeof settingsSchema>;

export const settingsName = serviceName<Settings>("settings");
