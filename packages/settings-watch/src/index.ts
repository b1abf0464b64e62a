export * from "./changed-keys.js";
export * from "./follow-settings.js";
export type { SettingsWatch } from "./settings-watch.js";
