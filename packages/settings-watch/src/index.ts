export * from "./changed-keys.js";
export * from "./watch-settings-file.js";
export type { SettingsWatch } from "./settings-watch.js";
